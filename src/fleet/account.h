#pragma once

#include <optional>

#include "core/accountid.h"

namespace cowsliphead
{

/// A client account as the configuration describes it.
struct Account {
    AccountId id_;

    /// Goes before a route's priority.
    std::optional<int> priority_;
};

} // namespace cowsliphead

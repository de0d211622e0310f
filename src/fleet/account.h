#pragma once

#include <optional>

#include "core/accountid.h"

namespace cowsliphead
{

/// A client account as the configuration describes it.
struct Account {
    AccountId id_;

    /// Overrides the priority of the route.
    std::optional<int> priority_;
};

} // namespace cowsliphead

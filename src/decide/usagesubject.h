#pragma once

#include <compare>

#include "core/accountid.h"
#include "core/modelid.h"

namespace cowsliphead
{

/// The account and the model that usage is counted for.
struct UsageSubject {
    AccountId account_;

    /// Empty for a plain service.
    ModelId model_;

    auto operator<=>(const UsageSubject &) const = default;
};

} // namespace cowsliphead

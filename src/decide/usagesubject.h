#pragma once

#include <compare>

#include "core/accountid.h"
#include "core/modelid.h"

namespace cowsliphead
{

/// Whose use of what is counted.
struct UsageSubject {
    AccountId account_;

    /// Empty for a plain service.
    ModelId model_;

    auto operator<=>(const UsageSubject &) const = default;
};

} // namespace cowsliphead

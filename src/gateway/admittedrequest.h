#pragma once

#include "fleet/account.h"
#include "fleet/route.h"

namespace cowsliphead
{

/// A request that the configuration allows.
struct AdmittedRequest {
    /// Lives as long as the configuration that admitted the request.
    const Route *route_ = nullptr;

    /// Null on a route open to all, for a request without a known key.
    const Account *account_ = nullptr;
};

} // namespace cowsliphead

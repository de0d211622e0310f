#pragma once

#include "fleet/account.h"
#include "fleet/route.h"

namespace cowsliphead
{

/// The route and the account of a request that the configuration admits.
struct AdmittedRequest {
    /// Lives as long as the configuration that admitted the request.
    const Route *route_ = nullptr;

    /// Null on an anonymous route if the request has no known key.
    const Account *account_ = nullptr;
};

} // namespace cowsliphead

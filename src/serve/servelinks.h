#pragma once

#include "decide/claimend.h"
#include "decide/claimrequest.h"
#include "decide/usageentry.h"
#include "task/address.h"
#include "traces/span.h"

namespace cowsliphead
{

/// Where the serving task sends its messages; a link that leads nowhere drops them.
struct ServeLinks {
    Address<ClaimRequest> claimRequests_;
    Address<ClaimEnd> claimEnds_;
    Address<Span> spans_;
    Address<UsageEntry> usage_;
};

} // namespace cowsliphead

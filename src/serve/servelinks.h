#pragma once

#include "decide/claimend.h"
#include "decide/claimrequest.h"
#include "decide/usageentry.h"
#include "task/address.h"
#include "traces/span.h"

namespace cowsliphead
{

/// Addresses of the tasks that the serving task sends messages to; messages to an empty address are dropped.
struct ServeLinks {
    Address<ClaimRequest> claimRequests_;
    Address<ClaimEnd> claimEnds_;
    Address<Span> spans_;
    Address<UsageEntry> usage_;
};

} // namespace cowsliphead

#pragma once

#include "task/address.h"
#include "usage/countsstored.h"
#include "usage/membercounts.h"

namespace cowsliphead
{

/// Where the usage duty passes counts on.
struct UsageLinks {
    /// The task that passes this gateway's counts on to the relay.
    Address<MemberCounts> counts_;

    /// The same task, which tells the gateways that the store holds their counts.
    Address<CountsStored> stored_;
};

} // namespace cowsliphead

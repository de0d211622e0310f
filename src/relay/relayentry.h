#pragma once

#include "relay/gatewaymember.h"
#include "store/storerevision.h"

namespace cowsliphead
{

/// The entry in the store that names the relay of a failure domain. It tells a starting gateway whom to ask; a gateway that has a relay
/// keeps to it while it answers, whatever the entry says.
struct RelayEntry {
    GatewayMember relay_;
    StoreRevision revision_;
};

} // namespace cowsliphead

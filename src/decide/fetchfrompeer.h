#pragma once

#include "decide/peeraddress.h"

namespace cowsliphead
{

/// Ask this peer for the changes after the daemon's own revision.
struct FetchFromPeer {
    PeerAddress address_;
};

} // namespace cowsliphead

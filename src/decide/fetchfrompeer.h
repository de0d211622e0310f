#pragma once

#include "decide/peeraddress.h"

namespace cowsliphead
{

/// Ask this peer for what follows the own revision.
struct FetchFromPeer {
    PeerAddress address_;
};

} // namespace cowsliphead

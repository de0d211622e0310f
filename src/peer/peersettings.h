#pragma once

#include <vector>

#include "decide/peeraddress.h"

namespace cowsliphead
{

/// The address where a daemon listens for its peers, and the seed peers it queries while it knows no other members.
struct PeerSettings {
    /// Port 0 selects a free port. The host is also the one advertised to the other daemons.
    PeerAddress address_{ "127.0.0.1", 0 };
    std::vector<PeerAddress> seeds_;
};

} // namespace cowsliphead

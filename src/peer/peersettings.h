#pragma once

#include <vector>

#include "decide/peeraddress.h"

namespace cowsliphead
{

/// Where a daemon listens for its peers, and whom it asks while it knows no one.
struct PeerSettings {
    /// Port 0 takes a free one. The host is also what the others are told.
    PeerAddress address_{ "127.0.0.1", 0 };
    std::vector<PeerAddress> seeds_;
};

} // namespace cowsliphead

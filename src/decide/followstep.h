#pragma once

#include <variant>

#include "decide/peeraddress.h"

namespace cowsliphead
{

/// Nothing is to be asked yet.
struct FollowWait {
};

/// Ask this peer for what follows the own revision.
struct FollowPeer {
    PeerAddress address_;
};

/// Ask the store for what follows the own revision.
struct FollowStore {
};

/// Whom a daemon asks next for newer records.
using FollowStep = std::variant<FollowWait, FollowPeer, FollowStore>;

} // namespace cowsliphead

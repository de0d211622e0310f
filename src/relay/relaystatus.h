#pragma once

#include <optional>

#include "decide/peeraddress.h"

namespace cowsliphead
{

/// What a gateway tells about itself as a relay.
struct RelayStatus {
    bool isRelay_ = false;

    /// It is a relay, and the store answers it.
    bool isFit_ = false;

    /// It is a relay, and the store does not answer it.
    bool isStoreLost_ = false;

    /// Its process is stopping.
    bool isLeaving_ = false;

    /// The relay that it asks itself; absent if it is a relay or has none that answers.
    std::optional<PeerAddress> redirect_;
};

} // namespace cowsliphead

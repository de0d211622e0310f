#pragma once

#include <cstdint>

#include "core/failuredomain.h"
#include "core/instanceid.h"
#include "core/revision.h"
#include "decide/peeraddress.h"

namespace cowsliphead
{

/// A daemon's description of itself, which other daemons pass on. An entry is newer if its incarnation is greater, or equal with a
/// greater heartbeat.
struct Member {
    InstanceId instance_;
    FailureDomain failureDomain_;
    PeerAddress address_;
    /// Increases with each run of the instance.
    std::uint64_t incarnation_ = 0;
    /// Increases regularly while this run is alive.
    std::uint64_t heartbeat_ = 0;
    /// True while the daemon holds a relay lease of its failure domain.
    bool isRelay_ = false;
    /// The revision of its records.
    Revision revision_ = 0;

    /// True if this entry replaces the other one of the same instance. Thread safety: as any value type.
    bool isNewerThan(const Member &other) const
    {
        return incarnation_ != other.incarnation_ ? incarnation_ > other.incarnation_ : heartbeat_ > other.heartbeat_;
    }
};

} // namespace cowsliphead

#pragma once

#include <cstdint>

#include "core/failuredomain.h"
#include "core/instanceid.h"
#include "core/revision.h"
#include "decide/peeraddress.h"

namespace cowsliphead
{

/// What a daemon says of itself, and others pass on. An entry with a greater incarnation, or the same and a greater heartbeat, is newer.
struct Member {
    InstanceId instance_;
    FailureDomain failureDomain_;
    PeerAddress address_;
    /// Grows with each run of the instance.
    std::uint64_t incarnation_ = 0;
    /// Grows as long as this run lives.
    std::uint64_t heartbeat_ = 0;
    /// True while the daemon holds a relay lease of its failure domain.
    bool isRelay_ = false;
    /// The revision that its records are at.
    Revision revision_ = 0;

    /// True if this entry is to replace the other one of the same instance. Thread safety: as any value type.
    bool isNewerThan(const Member &other) const
    {
        return incarnation_ != other.incarnation_ ? incarnation_ > other.incarnation_ : heartbeat_ > other.heartbeat_;
    }
};

} // namespace cowsliphead

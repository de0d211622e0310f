#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

#include "core/time.h"
#include "decide/member.h"

namespace cowsliphead
{

/// The daemons of the fleet, as known from gossiped heartbeats. A silent member is removed only after a long time, so that a pause
/// does not make it flap. Whether a member answers at present is checked by the code that contacts it. Thread safety: owner task
/// only.
class Membership
{
public:
    /// A member, and when its heartbeat last increased.
    struct TrackedMember {
        Member member_;
        MonotonicTime lastHeartbeatAt_;
    };

    /// A member whose heartbeat has not increased for this long is removed.
    static constexpr std::chrono::seconds HeartbeatTimeout{ 90 };

    /// Precondition: self names an instance.
    explicit Membership(Member self);

    /// The daemon's own entry.
    const Member &self() const;
    /// Increases the heartbeat of the daemon's own entry and updates the rest of it.
    void updateSelf(bool isRelay, Revision revision);
    /// Merges an entry received from a peer; one that is not newer changes nothing.
    void mergeMember(const Member &member, MonotonicTime now);
    /// Removes the members whose heartbeat has not increased within the limit.
    void removeExpired(MonotonicTime now);

    /// All members except the daemon itself, by instance.
    const std::map<InstanceId, TrackedMember> &others() const;
    /// Returns the daemon's own entry and at most count others, in rotation.
    std::vector<Member> nextToGossip(std::size_t count);

private:
    Member self_;
    std::map<InstanceId, TrackedMember> others_;
    /// The member that was gossiped last.
    InstanceId lastGossiped_;
};

} // namespace cowsliphead

#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

#include "core/time.h"
#include "decide/member.h"

namespace cowsliphead
{

/// Who is there, from heartbeats that daemons pass on. A silent member is passed over only after a long time, so that a pause
/// makes nothing flap; whether it answers just now is the business of who asks it.
class Membership
{
public:
    /// A member, and when its heartbeat grew last.
    struct Sighting {
        Member member_;
        MonotonicTime heardAt_;
    };

    /// A member whose heartbeat has not grown for so long is not counted any more.
    static constexpr std::chrono::seconds SilenceLimit{ 90 };

    /// Precondition: self names an instance. Thread safety: owner task only.
    explicit Membership(Member self);

    /// The daemon's own entry. Thread safety: owner task only.
    const Member &self() const;
    /// Renews the own entry. Thread safety: owner task only.
    void updateSelf(bool isRelay, Revision revision);
    /// Takes in an entry; one that is not newer changes nothing. Thread safety: owner task only.
    void mergeMember(const Member &member, MonotonicTime now);
    /// Forgets who has been silent beyond the limit. Thread safety: owner task only.
    void removeExpired(MonotonicTime now);

    /// All members but the daemon itself, by name. Thread safety: owner task only.
    const std::map<InstanceId, Sighting> &others() const;
    /// The own entry and at most count others, each in its turn. Thread safety: owner task only.
    std::vector<Member> nextToGossip(std::size_t count);

private:
    Member self_;
    std::map<InstanceId, Sighting> others_;
    /// The member that was passed on last.
    InstanceId passedOn_;
};

} // namespace cowsliphead

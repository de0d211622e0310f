#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/time.h"
#include "fleet/endpointentry.h"

namespace cowsliphead
{

/// The endpoints that may be used, from the entries that they keep in the store.
class EndpointDirectory
{
public:
    /// The entry was written. One that is older than what is known of its incarnation, or that calls an endpoint ready which has
    /// said that it leaves, is ignored: a late write must not bring it back. Returns false if it is ignored. Thread safety: owner
    /// task only.
    bool written(const EndpointEntry &entry);

    /// The entry was removed or can no longer be read. awaitedUntil: it may have lapsed only because the store was away, and its
    /// endpoint is used until then; without it the endpoint is gone at once. Thread safety: owner task only.
    void removed(const EndpointId &id, std::optional<MonotonicTime> awaitedUntil);

    /// All that the store holds, read anew; awaitedUntil as for removed(). Thread safety: owner task only.
    void replaced(const std::vector<EndpointEntry> &entries, std::optional<MonotonicTime> awaitedUntil);

    /// Drops what was waited for in vain. Returns true if that changed anything. Thread safety: owner task only.
    bool expire(MonotonicTime now);

    /// Thread safety: owner task only.
    std::vector<EndpointEntry> entries() const;

private:
    struct Known {
        EndpointEntry entry_;
        std::optional<MonotonicTime> awaitedUntil_;
    };

    bool isOutdated(const EndpointEntry &entry) const;

    std::map<EndpointId, Known> known_;

    /// Incarnations that said they leave.
    std::map<EndpointId, std::uint64_t> leaving_;
};

} // namespace cowsliphead

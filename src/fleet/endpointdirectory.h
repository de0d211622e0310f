#pragma once

#include <chrono>
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
    /// returnGrace: how long an entry that lapsed while the store was away is waited for after its return.
    /// Thread safety: owner task only.
    explicit EndpointDirectory(std::chrono::milliseconds returnGrace);

    /// The entry was written. Thread safety: owner task only.
    void written(const EndpointEntry &entry);

    /// The entry was removed or can no longer be read. hasStoreBeenAway: it may have lapsed only because the store was not
    /// reachable. Thread safety: owner task only.
    void removed(const EndpointId &id, bool hasStoreBeenAway, MonotonicTime now);

    /// All that the store holds, read anew. Thread safety: owner task only.
    void replaced(const std::vector<EndpointEntry> &entries, bool hasStoreBeenAway, MonotonicTime now);

    /// Drops what was waited for in vain. Returns true if that changed anything. Thread safety: owner task only.
    bool expire(MonotonicTime now);

    /// Thread safety: owner task only.
    std::vector<EndpointEntry> entries() const;

private:
    struct Known {
        EndpointEntry entry_;
        std::optional<MonotonicTime> awaitedUntil_;
    };

    std::chrono::milliseconds returnGrace_;
    std::map<EndpointId, Known> known_;
};

} // namespace cowsliphead

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/time.h"
#include "fleet/endpointentry.h"

namespace cowsliphead
{

/// The endpoints that may be used, built from the entries that they keep in the store. Thread safety: owner task only.
class EndpointDirectory
{
public:
    /// Applies an entry that was written. Ignores it and returns false if it is older than the known entry, or if its incarnation has
    /// announced its leaving and the entry does not say so: a late write must not make the endpoint usable again.
    bool update(const EndpointEntry &entry);

    /// Handles an entry that was removed or cannot be decoded. With keepUntil, the entry may have expired only because the store was
    /// unavailable, and its endpoint stays usable until that time; without it, the endpoint is removed at once. An endpoint that has
    /// announced its leaving is always removed at once.
    void remove(const EndpointId &id, std::optional<MonotonicTime> keepUntil);

    /// Replaces all entries by those of a full read; keepUntil applies to the missing ones, as in remove().
    void replaceAll(const std::vector<EndpointEntry> &entries, std::optional<MonotonicTime> keepUntil);

    /// Removes the endpoints whose keepUntil has passed. Returns true if there were any.
    bool expire(MonotonicTime now);

    std::vector<EndpointEntry> entries() const;

private:
    struct Registration {
        EndpointEntry entry_;
        std::optional<MonotonicTime> keepUntil_;
    };

    bool isOutdated(const EndpointEntry &entry) const;

    std::map<EndpointId, Registration> registrations_;

    /// For each endpoint, the incarnation that announced its leaving.
    std::map<EndpointId, std::uint64_t> leavingIncarnations_;
};

} // namespace cowsliphead

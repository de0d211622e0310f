#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "core/endpointid.h"
#include "core/requestdigest.h"
#include "core/time.h"
#include "decide/quarantineentry.h"
#include "decide/quarantinelimits.h"
#include "decide/quarantinestatus.h"

namespace cowsliphead
{

/// Detects requests that crash endpoints. A request that was in flight on several crashed endpoints becomes a suspect and is run
/// alone on an endpoint. Only a suspect that crashes an endpoint while it runs alone is quarantined, so that requests which merely
/// ran beside it are not. Thread safety: owner task only.
class Quarantine
{
public:
    explicit Quarantine(const QuarantineLimits &limits = {});

    QuarantineStatus quarantineStatus(const RequestDigest &digest, MonotonicTime now) const;

    /// An endpoint crashed with the request in flight. wasAlone: the endpoint had no other request of this daemon.
    void crashed(const RequestDigest &digest, const EndpointId &endpoint, bool wasAlone, MonotonicTime now);

    /// The request got a complete response, so it is no longer a suspect.
    void answered(const RequestDigest &digest);

    /// Returns all entries that are valid now, to be sent to other daemons.
    std::vector<QuarantineEntry> snapshot(MonotonicTime now) const;

    /// Merges another daemon's snapshot. Merging it again changes nothing.
    void merge(const std::vector<QuarantineEntry> &entries, MonotonicTime now);

    std::size_t size() const;

private:
    struct Entry {
        std::set<EndpointId> crashed_;
        bool isQuarantined_ = false;
        MonotonicTime until_;
    };

    Entry &entryFor(const RequestDigest &digest, MonotonicTime now);
    void evictIfFull(MonotonicTime now);

    QuarantineLimits limits_;
    std::map<RequestDigest, Entry> entries_;
};

} // namespace cowsliphead

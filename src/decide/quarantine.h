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

/// Finds the requests that crash endpoints. A request that was in flight on several crashed endpoints is a suspect and is tried alone;
/// only one that crashes an endpoint while alone is quarantined, so that its neighbours are not punished.
class Quarantine
{
public:
    /// Thread safety: owner task only.
    explicit Quarantine(const QuarantineLimits &limits = {});

    /// Thread safety: owner task only.
    QuarantineStatus quarantineStatus(const RequestDigest &digest, MonotonicTime now) const;

    /// An endpoint crashed with the request in flight; wasAlone if it had no other request of this daemon. Thread safety: owner task only.
    void crashed(const RequestDigest &digest, const EndpointId &endpoint, bool wasAlone, MonotonicTime now);

    /// The request got a whole answer, which clears a suspect. Thread safety: owner task only.
    void answered(const RequestDigest &digest);

    /// All that holds at this time, for other daemons. Thread safety: owner task only.
    std::vector<QuarantineEntry> snapshot(MonotonicTime now) const;

    /// Takes in another daemon's snapshot; taking it in again changes nothing. Thread safety: owner task only.
    void merge(const std::vector<QuarantineEntry> &entries, MonotonicTime now);

    /// Thread safety: owner task only.
    std::size_t size() const;

private:
    struct Entry {
        std::set<EndpointId> crashed_;
        bool isQuarantined_ = false;
        MonotonicTime until_;
    };

    Entry &entryFor(const RequestDigest &digest, MonotonicTime now);
    void makeRoom(MonotonicTime now);

    QuarantineLimits limits_;
    std::map<RequestDigest, Entry> entries_;
};

} // namespace cowsliphead

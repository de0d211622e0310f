#pragma once

#include <chrono>
#include <map>

#include "core/endpointid.h"
#include "core/time.h"

namespace cowsliphead
{

/// Remembers which endpoints crashed or went silent, so that they are avoided for a while: longer each time, until one answers again.
/// The state grows with the number of endpoints that failed, not with the number of failures.
class EndpointHealth
{
public:
    /// A connection to the endpoint was lost or refused. Thread safety: owner task only.
    void crashed(const EndpointId &endpoint, MonotonicTime now);

    /// Even a new connection to the endpoint went silent. Thread safety: owner task only.
    void wentSilent(const EndpointId &endpoint, MonotonicTime now);

    /// The endpoint refused a request without running it: it is full, or busy with an order. Thread safety: owner task only.
    void refused(const EndpointId &endpoint, MonotonicTime now);

    /// The endpoint gave a whole answer. Thread safety: owner task only.
    void answered(const EndpointId &endpoint);

    /// True if others are to be preferred now. Thread safety: owner task only.
    bool isAvoided(const EndpointId &endpoint, MonotonicTime now) const;

private:
    struct Mark {
        MonotonicTime avoidedUntil_;
        std::chrono::milliseconds avoidance_{ 0 };
    };

    void avoid(const EndpointId &endpoint, std::chrono::milliseconds atLeast, MonotonicTime now);

    std::map<EndpointId, Mark> marks_;
};

} // namespace cowsliphead

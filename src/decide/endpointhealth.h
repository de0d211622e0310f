#pragma once

#include <chrono>
#include <map>

#include "core/endpointid.h"
#include "core/time.h"

namespace cowsliphead
{

/// Tracks endpoints that crashed, went silent or refused a request, so that they are avoided for a while: longer with each failure,
/// until the endpoint answers again. Memory use grows with the number of endpoints that failed, not with the number of failures.
/// Thread safety: owner task only.
class EndpointHealth
{
public:
    /// A connection to the endpoint was lost or refused.
    void crashed(const EndpointId &endpoint, MonotonicTime now);

    /// A new connection to the endpoint went silent too.
    void wentSilent(const EndpointId &endpoint, MonotonicTime now);

    /// The endpoint refused a request without running it: it is full, or busy with an order.
    void refused(const EndpointId &endpoint, MonotonicTime now);

    /// The endpoint returned a complete response.
    void answered(const EndpointId &endpoint);

    /// True if other endpoints are to be preferred now.
    bool isAvoided(const EndpointId &endpoint, MonotonicTime now) const;

private:
    struct Backoff {
        MonotonicTime avoidedUntil_;
        std::chrono::milliseconds avoidance_{ 0 };
    };

    void avoid(const EndpointId &endpoint, std::chrono::milliseconds minAvoidance, MonotonicTime now);

    std::map<EndpointId, Backoff> backoffs_;
};

} // namespace cowsliphead

#pragma once

#include "core/servicename.h"
#include "core/time.h"

namespace cowsliphead
{

struct GatewayContext;

/// An AdmissionCapacity of the endpoints of a plain service, which all gateways use. Thread safety: the context's task only.
class PlainCapacity
{
public:
    /// Precondition: the context outlives the object.
    PlainCapacity(GatewayContext &context, ServiceName service);

    /// True if one of the endpoints has room, or if there is none that requests could wait for.
    bool hasRoom(MonotonicTime now) const;

    /// True if recent reports tell the load of each full endpoint.
    bool isCertain(MonotonicTime now) const;

    /// Nothing to count: dispatches count themselves at their endpoint.
    void taken()
    {
    }

    void answered()
    {
    }

    void failed(bool /*isFull*/)
    {
    }

private:
    GatewayContext &context_;
    ServiceName service_;
};

} // namespace cowsliphead

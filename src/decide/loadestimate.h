#pragma once

#include <cstdint>
#include <deque>

#include "core/time.h"
#include "decide/endpointload.h"

namespace cowsliphead
{

/// Estimates an endpoint's load from its delayed reports and from the requests that this daemon has sent since. Thread safety: owner
/// task only.
class LoadEstimate
{
public:
    /// A request was sent to the endpoint.
    void sent(MonotonicTime now);

    /// A request sent to the endpoint has ended.
    void ended();

    /// The endpoint reported its number of requests, which may be out of date.
    void reported(std::uint32_t requests, MonotonicTime now);

    EndpointLoad load(MonotonicTime now) const;

private:
    std::uint32_t inFlight_ = 0;
    std::uint32_t reported_ = 0;
    MonotonicTime reportedAt_;

    /// Send times of the requests that the last report may not include.
    std::deque<MonotonicTime> unreportedSends_;
};

} // namespace cowsliphead

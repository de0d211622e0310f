#pragma once

#include <cstdint>
#include <deque>

#include "core/time.h"
#include "decide/endpointload.h"

namespace cowsliphead
{

/// Estimates an endpoint's work from its lagging reports and from what this daemon has sent since.
class LoadEstimate
{
public:
    /// A request was sent to the endpoint. Thread safety: owner task only.
    void sent(MonotonicTime now);

    /// A request sent there has ended. Thread safety: owner task only.
    void ended();

    /// The endpoint reported a number of requests, as it was a while ago. Thread safety: owner task only.
    void reported(std::uint32_t requests, MonotonicTime now);

    /// Thread safety: owner task only.
    EndpointLoad load(MonotonicTime now) const;

private:
    std::uint32_t inFlight_ = 0;
    std::uint32_t reported_ = 0;
    MonotonicTime reportedAt_;

    /// When the requests were sent that the last report may not have counted.
    std::deque<MonotonicTime> uncounted_;
};

} // namespace cowsliphead

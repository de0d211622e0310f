#pragma once

#include <cstdint>
#include <map>

#include "core/endpointid.h"
#include "core/time.h"
#include "decide/crashkeys.h"
#include "decide/incarnationkey.h"

namespace cowsliphead
{

/// Tells the runs of endpoints apart that do not say when they started. Thread safety: owner task only.
class EndpointRuns
{
public:
    /// The run of the endpoint that ended now with a request in hand: another one than before if the request was written after that one had
    /// ended.
    IncarnationKey ended(const EndpointId &endpoint, MonotonicTime writtenAt, MonotonicTime now)
    {
        auto &run = runs_[endpoint];
        if (run.number_ == 0 || writtenAt >= run.endedAt_) {
            ++run.number_;
            run.endedAt_ = now;
        }
        return crashkeys::ofEndpoint(endpoint, run.number_);
    }

private:
    struct Run {
        std::uint64_t number_ = 0;
        MonotonicTime endedAt_;
    };

    std::map<EndpointId, Run> runs_;
};

} // namespace cowsliphead

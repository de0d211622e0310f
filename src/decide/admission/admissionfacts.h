#pragma once

#include <chrono>
#include <optional>

#include "decide/admission/firsteventestimate.h"

namespace cowsliphead
{

/// What the decision about sending a request depends on. Thread safety: as any value type.
struct AdmissionFacts {
    /// Time until the caller's deadline.
    std::chrono::milliseconds callerTimeLeft_{ 0 };

    /// Time until the route's timeout.
    std::chrono::milliseconds routeTimeLeft_{ 0 };

    /// Time until the caller leaves for want of a first event; absent if it waits for an answer that is not streamed.
    std::optional<std::chrono::milliseconds> patienceLeft_{};

    /// An answer within this time is on time.
    std::chrono::milliseconds targetLatency_{ 0 };

    /// False while all endpoints of a plain service are full.
    bool hasRoom_ = true;

    /// False if an endpoint may have begun the request, so that no answer may say that it has not run.
    bool mayBeRefused_ = true;

    /// Absent unless recent reports of the load support it.
    std::optional<FirstEventEstimate> expected_{};

    /// A random number from 0 to 1, which spreads the return of callers that are refused.
    double jitter_ = 0;

    /// The time that the request has left until its first event.
    std::chrono::milliseconds timeLimit() const;
};

} // namespace cowsliphead

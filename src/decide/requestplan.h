#pragma once

#include <chrono>

#include "core/accountid.h"
#include "decide/requesttarget.h"
#include "decide/requesttraits.h"

namespace cowsliphead
{

/// The account that a request runs for, the endpoints that may run it, and the limits and timeouts of its attempts.
struct RequestPlan {
    /// Empty on a route that needs no API key.
    AccountId account_;
    RequestTarget target_;
    RequestTraits traits_;
    std::chrono::milliseconds firstByteTimeout_{ 0 };
    std::chrono::milliseconds silenceTimeout_{ 0 };
};

} // namespace cowsliphead

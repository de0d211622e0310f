#pragma once

#include <chrono>

#include "core/accountid.h"
#include "decide/requesttarget.h"
#include "decide/requesttraits.h"

namespace cowsliphead
{

/// For whom a request runs, where it may run, and how it is tried.
struct RequestPlan {
    /// Empty on a route that is open to all.
    AccountId account_;
    RequestTarget target_;
    RequestTraits traits_;
    std::chrono::milliseconds firstByteTimeout_{ 0 };
    std::chrono::milliseconds silenceTimeout_{ 0 };
};

} // namespace cowsliphead

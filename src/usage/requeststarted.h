#pragma once

#include "core/accountid.h"
#include "core/time.h"

namespace cowsliphead
{

/// An endpoint has begun to run a request of the account.
struct RequestStarted {
    AccountId account_;
    MonotonicTime at_;
};

} // namespace cowsliphead

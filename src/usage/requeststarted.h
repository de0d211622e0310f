#pragma once

#include "core/accountid.h"
#include "core/time.h"

namespace cowsliphead
{

/// Reports that an endpoint has started to run a request of the account.
struct RequestStarted {
    AccountId account_;
    MonotonicTime at_;
};

} // namespace cowsliphead

#pragma once

#include "gateway/refusal.h"

namespace cowsliphead
{

/// Returns the gateway's response for an error. Precondition: the request has not run, unless the code is EndpointLost or EndpointTimedOut.
/// Thread safety: any thread.
Refusal refusalOf(ErrorCode code);

} // namespace cowsliphead

#pragma once

#include "gateway/refusal.h"

namespace cowsliphead
{

/// The gateway's own answer for an error. Precondition: an error that EndpointLost and EndpointTimedOut do not stand for means that
/// the request has not run. Thread safety: any thread.
Refusal refusalOf(ErrorCode code);

} // namespace cowsliphead

#pragma once

#include "core/result.h"
#include "core/time.h"
#include "decide/requestplan.h"

namespace cowsliphead
{

class RecordSet;
struct RequestFacts;

/// Determines the account, the target and the limits of a request. Thread safety: any thread. Errors: those of authorize(),
/// KeyNotAllowed, ModelUnknown, RouteUnknown.
Result<RequestPlan> planRequest(const RecordSet &records, const RequestFacts &facts, MonotonicTime now);

} // namespace cowsliphead

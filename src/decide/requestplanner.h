#pragma once

#include "core/result.h"
#include "core/time.h"
#include "decide/requestplan.h"

namespace cowsliphead
{

class RecordSet;
struct RequestFacts;

/// Decides for whom, where and how a request runs. Thread safety: any thread.
/// Errors: those of authorize(), KeyNotAllowed, ModelUnknown, RouteUnknown.
Result<RequestPlan> planRequest(const RecordSet &records, const RequestFacts &facts, MonotonicTime now);

} // namespace cowsliphead

#pragma once

#include <chrono>
#include <optional>

#include "core/failuredomain.h"
#include "decide/placement/expectedtime.h"

namespace cowsliphead
{

struct EngineCandidate;
struct EngineSpec;
struct PromptFacts;

/// Estimates when an engine sends the first event if it gets the request now. holder: the failure domain of the engine from which it can
/// fetch shared parts that it lacks; nothing if there is none. Thread safety: any thread.
ExpectedTime expectedFirstEvent(const PromptFacts &prompt, const EngineCandidate &engine, const EngineSpec &spec, const std::optional<FailureDomain> &holder);

/// The cost of an expected time, by which candidates are compared. crossesDomains: shared parts are fetched from another failure domain.
/// Thread safety: any thread.
std::chrono::microseconds expectedLoss(const ExpectedTime &expected, std::chrono::milliseconds targetLatency, bool crossesDomains);

} // namespace cowsliphead

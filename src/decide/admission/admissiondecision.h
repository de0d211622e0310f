#pragma once

#include <chrono>

#include "decide/admission/admissionkind.h"

namespace cowsliphead
{

struct AdmissionFacts;

/// What to do with a request that is about to be sent to an endpoint. Thread safety: as any value type.
struct AdmissionDecision {
    AdmissionKind kind_ = AdmissionKind::Send;

    /// When the caller of a refused request should try again; zero for the other kinds.
    std::chrono::milliseconds retryAfter_{ 0 };
};

/// Decides whether a request is sent now, waits for room, or is refused. Refusing a request that would have been served costs its caller
/// more than a late answer, so a request is refused only on an estimate. Thread safety: any thread.
AdmissionDecision admissionDecision(const AdmissionFacts &facts);

/// When a request may be expected to begin at the latest: a part of its time limit, since estimates are not exact and the answer has yet to
/// reach the caller. Thread safety: any thread.
std::chrono::nanoseconds latestFirstEvent(std::chrono::nanoseconds timeLimit);

/// When the caller of a refused request should try again: once the first event is expected within the target latency. Never past a third of
/// the caller's remaining time, since callers ignore longer delays. Thread safety: any thread.
std::chrono::milliseconds retryDelay(const AdmissionFacts &facts);

} // namespace cowsliphead

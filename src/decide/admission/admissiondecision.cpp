#include "decide/admission/admissiondecision.h"

#include <algorithm>

#include "decide/admission/admissionfacts.h"

namespace cowsliphead
{

namespace
{

/// Latest expected first event, in percent of the time limit.
constexpr int LatestPercent = 90;

/// A queue does not get shorter by a noticeable amount in less time.
constexpr std::chrono::milliseconds MinRetryDelay{ 100 };

/// Callers wait for this part of their remaining time at the most.
constexpr int MaxRetryFraction = 3;

/// The longest random delay, as a part of the delay that it is added to.
constexpr double MaxJitter = 0.5;

} // namespace

AdmissionDecision admissionDecision(const AdmissionFacts &facts)
{
    const bool isTooLate = facts.expected_ && facts.expected_->total() > latestFirstEvent(facts.timeLimit());
    if (isTooLate && facts.mayBeRefused_) {
        return { AdmissionKind::Refuse, retryDelay(facts) };
    }
    return { facts.hasRoom_ ? AdmissionKind::Send : AdmissionKind::Wait };
}

std::chrono::nanoseconds latestFirstEvent(std::chrono::nanoseconds timeLimit)
{
    return timeLimit * LatestPercent / 100;
}

std::chrono::milliseconds retryDelay(const AdmissionFacts &facts)
{
    const auto longest = std::max(std::chrono::milliseconds(0), facts.callerTimeLeft_) / MaxRetryFraction;
    auto delay = MinRetryDelay;
    if (facts.expected_) {
        // Only the queue gets shorter while the caller waits.
        delay = std::max(delay, std::min(facts.expected_->queue_, facts.expected_->total() - facts.targetLatency_));
    }
    // Limited before the jitter is added, so that the limit does not make callers return together.
    const std::chrono::duration<double, std::milli> limited = std::min<std::chrono::duration<double, std::milli>>(delay, longest / (1.0 + MaxJitter));
    const auto spread = std::chrono::duration_cast<std::chrono::milliseconds>(limited * (1.0 + MaxJitter * facts.jitter_));
    return std::min(std::max(spread, MinRetryDelay), longest);
}

} // namespace cowsliphead

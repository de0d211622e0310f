#include "gateway/requestlog.h"

#include <algorithm>

#include "http/httpstatus.h"
#include "logs/log.h"

namespace cowsliphead::requestlog
{

namespace
{

std::uint64_t countOf(std::chrono::milliseconds duration)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, duration.count()));
}

std::string idsOf(std::span<const PromptPart> parts)
{
    std::string ids;
    for (const auto &part : parts) {
        ids += (ids.empty() ? "" : ",") + part.id_;
    }
    return ids;
}

/// The expected time and its terms in milliseconds. Empty if the time was not estimated.
std::string textOf(const std::optional<ExpectedTime> &expected)
{
    if (!expected) {
        return {};
    }
    const auto text = [](std::chrono::microseconds time) { return std::to_string(std::chrono::round<std::chrono::milliseconds>(time).count()); };
    return text(expected->total()) + " ms: queue " + text(expected->queue_) + ", reading " + text(expected->reading_) + ", fetch " + text(expected->fetch_)
        + ", steps " + text(expected->steps_) + ", room " + text(expected->room_);
}

} // namespace

void ended(const Summary &summary)
{
    const auto write = summary.status_ == httpstatus::Ok ? logRateLimited : logEvent;
    write(LogEvent::RequestEnded,
          { { "request", summary.request_ },
            { "route", summary.route_ },
            { "account", summary.account_ },
            { "service", summary.service_ },
            { "status", std::uint64_t(summary.status_) },
            { "reason", summary.reason_ },
            { "endpoint", summary.endpoint_ },
            { "dispatches", std::uint64_t(summary.dispatches_) },
            { "arrivals", std::uint64_t(summary.arrivals_) },
            { "runs", std::uint64_t(summary.runs_) },
            { "maxRuns", std::uint64_t(summary.maxRuns_) },
            { "mayHaveRun", summary.mayHaveRun_ ? "yes" : "no" },
            { "timeLeftMs", countOf(summary.timeLeft_) },
            { "afterMs", countOf(summary.elapsed_) },
            { "digest", summary.digest_.value() },
            { "culprit", summary.culprit_ },
            { "configuration", summary.configuration_ },
            { "configurationAgeMs", countOf(summary.configurationAge_) } });
}

void dispatchEnded(
    const DispatchPlan &plan, const AttemptResult &result, std::chrono::milliseconds elapsed, const RequestDigest &digest, std::span<const PromptPart> parts)
{
    logEvent(LogEvent::DispatchEnded,
             { { "request", plan.attemptId_ },
               { "endpoint", plan.metadata_.endpoint_.value() },
               { "purpose", plan.metadata_.isPrefill_ ? "prefill" : "run" },
               { "end", attemptEndName(result.end_) },
               { "reason", result.reason_ },
               { "status", std::uint64_t(result.head_.status_) },
               { "digest", digest.value() },
               { "parts", idsOf(parts) },
               { "afterMs", countOf(elapsed) } });
}

void promptRead(const DispatchPlan &plan, const std::string &sharedParts, std::uint64_t sharedTokens, std::chrono::milliseconds duration)
{
    logRateLimited(LogEvent::PromptRead,
                   { { "request", plan.attemptId_ },
                     { "endpoint", plan.metadata_.endpoint_.value() },
                     { "parts", sharedParts },
                     { "fetchedFrom", plan.metadata_.fetchSource_ },
                     { "sharedTokens", sharedTokens },
                     { "ownTokens", plan.ownTokens_ },
                     { "expected", textOf(plan.expected_) },
                     { "takenMs", countOf(duration) } });
}

} // namespace cowsliphead::requestlog

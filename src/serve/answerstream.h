#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "serve/endswithdoneevent.h"
#include "serve/sseframer.h"

namespace cowsliphead
{

/// Joins the event streams of consecutive attempts into one streamed answer without missing or duplicate events.
/// Thread safety: call only from the owning task.
class AnswerStream
{
public:
    /// Starts a new attempt; an incomplete event of the previous attempt is discarded.
    void beginAttempt(const std::string &attemptId);

    /// True if the answer has no events yet, or if the endpoint confirmed that it resumes after exactly the events sent so far.
    /// Precondition: beginAttempt() was called.
    bool canContinueFrom(const std::string &confirmedResumeFrom) const;

    /// Adds data from the endpoint and returns the complete events to forward. The view is valid until the next call.
    /// Precondition: canContinueFrom() returned true.
    std::string_view append(std::string_view data);

    /// Number of events returned so far; the next attempt resumes after them.
    std::uint64_t eventCount() const;

    /// True once the terminating event was returned; the end of the connection alone does not complete an answer.
    bool isComplete() const;

private:
    SseFramer<EndsWithDoneEvent> framer_;

    /// Replaces the identifiers of later attempts, so that all events of the answer carry the same one.
    std::string firstAttemptId_;
    std::string attemptId_;
    std::string rewrittenEvents_;
};

} // namespace cowsliphead

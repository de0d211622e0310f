#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "serve/sseframer.h"

namespace cowsliphead
{

/// One caller's streamed answer, joined from the attempts that each gave a part of it, without a gap or a doubled event.
class AnswerStream
{
public:
    /// The part of an event that the last attempt left is dropped. Thread safety: owner task only.
    void beginAttempt(const std::string &attemptId);

    /// True if an endpoint that confirms to go on after this number of events fits what the caller has.
    /// Precondition: beginAttempt(). Thread safety: owner task only.
    bool mayJoin(const std::string &confirmedResumeFrom) const;

    /// What is to be passed on to the caller: whole events only. The view holds until the next call.
    /// Precondition: mayJoin() was true. Thread safety: owner task only.
    std::string_view add(std::string_view data);

    /// Events that the caller has; an attempt resumes from here. Thread safety: owner task only.
    std::uint64_t eventCount() const;

    /// True once the caller has the event that ends the answer; the end of a connection alone does not make an answer whole.
    /// Thread safety: owner task only.
    bool isWhole() const;

private:
    SseFramer framer_;

    /// Every event carries the first attempt's identifier, so that the caller sees one answer.
    std::string firstAttemptId_;
    std::string attemptId_;
    std::string renamed_;
};

} // namespace cowsliphead

#include "serve/answerstream.h"

#include <boost/algorithm/string/replace.hpp>

namespace cowsliphead
{

void AnswerStream::beginAttempt(const std::string &attemptId)
{
    framer_.discardPartialEvent();
    attemptId_ = attemptId;
    if (eventCount() == 0) {
        firstAttemptId_ = attemptId;
    }
}

bool AnswerStream::canContinueFrom(const std::string &confirmedResumeFrom) const
{
    return eventCount() == 0 || confirmedResumeFrom == std::to_string(eventCount());
}

std::string_view AnswerStream::append(std::string_view data)
{
    const auto events = framer_.add(data);
    if (attemptId_ == firstAttemptId_) {
        return events;
    }
    rewrittenEvents_ = events;
    boost::algorithm::replace_all(rewrittenEvents_, attemptId_, firstAttemptId_);
    return rewrittenEvents_;
}

std::uint64_t AnswerStream::eventCount() const
{
    return framer_.eventCount();
}

bool AnswerStream::isComplete() const
{
    return framer_.hasEnded();
}

} // namespace cowsliphead

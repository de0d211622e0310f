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

bool AnswerStream::mayJoin(const std::string &confirmedResumeFrom) const
{
    return eventCount() == 0 || confirmedResumeFrom == std::to_string(eventCount());
}

std::string_view AnswerStream::add(std::string_view data)
{
    const auto events = framer_.add(data);
    if (attemptId_ == firstAttemptId_) {
        return events;
    }
    renamed_ = events;
    boost::algorithm::replace_all(renamed_, attemptId_, firstAttemptId_);
    return renamed_;
}

std::uint64_t AnswerStream::eventCount() const
{
    return framer_.eventCount();
}

bool AnswerStream::isWhole() const
{
    return framer_.hasEnded();
}

} // namespace cowsliphead

#include "decide/candidateschedule.h"

namespace cowsliphead
{

CandidateSchedule::CandidateSchedule(std::chrono::milliseconds mean, std::uint32_t seed)
    : mean_(mean)
    , random_(seed)
{
}

void CandidateSchedule::setMean(std::chrono::milliseconds mean)
{
    mean_ = mean;
}

bool CandidateSchedule::isDue(MonotonicTime now) const
{
    return now >= next_;
}

void CandidateSchedule::checked(MonotonicTime now)
{
    std::exponential_distribution<double> interval(1.0 / static_cast<double>(mean_.count()));
    next_ = now + std::chrono::milliseconds(static_cast<std::int64_t>(interval(random_)));
}

void CandidateSchedule::pause(std::chrono::milliseconds duration, MonotonicTime now)
{
    next_ = now + duration;
}

} // namespace cowsliphead

#include "decide/loadestimate.h"

#include <algorithm>

namespace cowsliphead
{

namespace
{

/// Maximum delay of a report.
constexpr std::chrono::milliseconds MaxReportDelay{ 1000 };

/// Older reports are ignored.
constexpr std::chrono::milliseconds ReportLifetime{ 10000 };

} // namespace

void LoadEstimate::sent(MonotonicTime now)
{
    ++inFlight_;
    unreportedSends_.push_back(now);
}

void LoadEstimate::ended()
{
    inFlight_ -= std::min<std::uint32_t>(inFlight_, 1);
    // It is not known which request has ended, or whether the report includes it. Assumes the oldest request, and that the report
    // includes it unless the reported number is already 0.
    if (reported_ > 0) {
        --reported_;
    } else if (!unreportedSends_.empty()) {
        unreportedSends_.pop_front();
    }
}

void LoadEstimate::reported(std::uint32_t requests, MonotonicTime now)
{
    reported_ = requests;
    reportedAt_ = now;
    while (!unreportedSends_.empty() && unreportedSends_.front() < now - MaxReportDelay) {
        unreportedSends_.pop_front();
    }
}

EndpointLoad LoadEstimate::load(MonotonicTime now) const
{
    const bool isReportFresh = now - reportedAt_ < ReportLifetime;
    const auto expected = isReportFresh ? reported_ + static_cast<std::uint32_t>(unreportedSends_.size()) : 0;
    return { inFlight_, std::max(inFlight_, expected) };
}

} // namespace cowsliphead

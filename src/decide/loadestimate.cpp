#include "decide/loadestimate.h"

#include <algorithm>

namespace cowsliphead
{

namespace
{

/// How far a report may lag behind.
constexpr std::chrono::milliseconds ReportLag{ 1000 };

/// An older report says nothing any more.
constexpr std::chrono::milliseconds ReportLifetime{ 10000 };

} // namespace

void LoadEstimate::sent(MonotonicTime now)
{
    ++inFlight_;
    uncounted_.push_back(now);
}

void LoadEstimate::ended()
{
    inFlight_ -= std::min<std::uint32_t>(inFlight_, 1);
    // The oldest request is taken for the one that has ended, and the report for having counted it if it could.
    if (reported_ > 0) {
        --reported_;
    } else if (!uncounted_.empty()) {
        uncounted_.pop_front();
    }
}

void LoadEstimate::reported(std::uint32_t requests, MonotonicTime now)
{
    reported_ = requests;
    reportedAt_ = now;
    while (!uncounted_.empty() && uncounted_.front() < now - ReportLag) {
        uncounted_.pop_front();
    }
}

EndpointLoad LoadEstimate::load(MonotonicTime now) const
{
    const bool isReportFresh = now - reportedAt_ < ReportLifetime;
    const auto expected = isReportFresh ? reported_ + static_cast<std::uint32_t>(uncounted_.size()) : 0;
    return { inFlight_, std::max(inFlight_, expected) };
}

} // namespace cowsliphead

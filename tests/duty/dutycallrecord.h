#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "duty/dutycall.h"

namespace cowsliphead
{

/// The calls that a platform without a check of fencing numbers receives, and what it counts as violations.
class DutyCallRecord
{
public:
    void arrives(DutyCall call)
    {
        calls_.push_back(std::move(call));
    }

    /// Number of calls with a lower fencing number than one received before, except those that arrive soon after a freeze or a cut.
    std::size_t outdatedCalls() const
    {
        FencingNumber highest = 0;
        std::size_t outdated = 0;
        for (const auto &call : counted()) {
            outdated += call.fence_ < highest ? 1 : 0;
            highest = std::max(highest, call.fence_);
        }
        return outdated;
    }

    /// Number of calls of a holder that acted within the last lease duration, with another holder's call in between.
    std::size_t returns(std::chrono::milliseconds leaseDuration) const
    {
        const auto calls = counted();
        std::size_t returns = 0;
        for (std::size_t last = 1; last < calls.size(); ++last) {
            if (calls[last].holder_ == calls[last - 1].holder_) {
                continue;
            }
            for (std::size_t earlier = last; earlier-- > 0 && calls[last].at_ - calls[earlier].at_ <= leaseDuration;) {
                returns += calls[earlier].holder_ == calls[last].holder_ ? 1 : 0;
            }
        }
        return returns;
    }

    /// Number of fencing numbers under which more than one holder called.
    std::size_t sharedFences() const
    {
        std::map<FencingNumber, std::set<std::string>> holders;
        for (const auto &call : calls_) {
            holders[call.fence_].insert(call.holder_);
        }
        return static_cast<std::size_t>(std::count_if(holders.begin(), holders.end(), [](const auto &item) { return item.second.size() > 1; }));
    }

    /// The lowest fencing number of all calls. Precondition: there were calls.
    FencingNumber lowestFence() const
    {
        return std::min_element(calls_.begin(), calls_.end(), [](const DutyCall &left, const DutyCall &right) { return left.fence_ < right.fence_; })->fence_;
    }

    /// Returns the holders whose calls were received since a time.
    std::set<std::string> holdersSince(MonotonicTime from) const
    {
        std::set<std::string> holders;
        for (const auto &call : calls_) {
            if (call.at_ >= from) {
                holders.insert(call.holder_);
            }
        }
        return holders;
    }

private:
    /// Calls that arrive this long after a freeze of the sender or a cut of its link may have been sent before it.
    static constexpr std::chrono::milliseconds ThawTime{ 300 };

    /// The calls that count, in the order of their arrival.
    std::vector<DutyCall> counted() const
    {
        auto calls = calls_;
        std::stable_sort(calls.begin(), calls.end(), [](const DutyCall &left, const DutyCall &right) { return left.at_ < right.at_; });
        std::erase_if(calls, [](const DutyCall &call) { return call.thawedAt_ != MonotonicTime() && call.at_ - call.thawedAt_ <= ThawTime; });
        return calls;
    }

    std::vector<DutyCall> calls_;
};

} // namespace cowsliphead

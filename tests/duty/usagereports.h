#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/errorcode.h"
#include "decide/fencingnumber.h"
#include "duty/serverorder.h"
#include "usage/windowcounts.h"

namespace cowsliphead
{

/// The usage reports that a platform has accepted. It refuses a lower fencing number than it has seen.
class UsageReports
{
public:
    /// A report by a holder arrives. Errors: PlatformRefused.
    Result<void> arrives(const std::string &holder, const WindowCounts &counts, FencingNumber fence)
    {
        if (fence < highestFence_) {
            return failure(ErrorCode::PlatformRefused);
        }
        highestFence_ = fence;
        holders_[fence].insert(holder);
        figures_[counts.window_].insert(counts.requests_);
        return {};
    }

    /// Number of windows that were reported with different counts.
    std::size_t contradictions() const
    {
        return static_cast<std::size_t>(std::count_if(figures_.begin(), figures_.end(), [](const auto &item) { return item.second.size() > 1; }));
    }

    /// Number of fencing numbers under which more than one holder reported.
    std::size_t sharedFences() const
    {
        return static_cast<std::size_t>(std::count_if(holders_.begin(), holders_.end(), [](const auto &item) { return item.second.size() > 1; }));
    }

    bool contains(UsageWindow window) const
    {
        return figures_.contains(window);
    }

    /// The requests of an account in a window; 0 if it was not reported.
    std::uint64_t requestsOf(const AccountId &account, UsageWindow window) const
    {
        const auto found = figures_.find(window);
        if (found == figures_.end() || !found->second.begin()->contains(account)) {
            return 0;
        }
        return found->second.begin()->at(account);
    }

private:
    using Figures = decltype(WindowCounts::requests_);

    FencingNumber highestFence_ = 0;
    std::map<FencingNumber, std::set<std::string>> holders_;
    std::map<UsageWindow, std::set<Figures>> figures_;
};

} // namespace cowsliphead

#include "duty/ownwindowcounts.h"

#include <utility>

#include "logs/log.h"

namespace cowsliphead
{

OwnWindowCounts::OwnWindowCounts(InstanceId gateway)
    : gateway_(std::move(gateway))
{
}

OwnWindowCounts::Window &OwnWindowCounts::windowOf(UsageWindow window)
{
    const auto [found, isNew] = windows_.try_emplace(window);
    if (isNew) {
        found->second.counts_.gateway_ = gateway_;
        found->second.counts_.counts_.window_ = window;
    }
    return found->second;
}

void OwnWindowCounts::count(const AccountId &account, UsageWindow window)
{
    auto &entry = windowOf(window);
    ++entry.counts_.counts_.requests_[account];
    entry.isChanged_ = true;
}

void OwnWindowCounts::dropOld(UsageWindow current)
{
    while (!windows_.empty() && windows_.begin()->first + RetainedWindows < current) {
        logEvent(LogEvent::UsageCountsLost, { { "window", std::uint64_t(windows_.begin()->first) } });
        windows_.erase(windows_.begin());
    }
}

std::vector<MemberCounts> OwnWindowCounts::takeChanged(UsageWindow current, MonotonicTime now)
{
    windowOf(current);
    dropOld(current);
    const bool isCurrentDue = now - passedOnAt_ >= PassOnInterval;
    std::vector<MemberCounts> changed;
    for (auto &[number, window] : windows_) {
        auto &counts = window.counts_.counts_;
        if (number < current && !counts.isFinal_) {
            counts.isFinal_ = true;
            window.endedAt_ = now;
            window.isChanged_ = true;
        }
        const bool isDue = counts.isFinal_ || (isCurrentDue && !counts.requests_.empty());
        if (window.isChanged_ && isDue) {
            window.isChanged_ = false;
            ++window.counts_.version_;
            changed.push_back(window.counts_);
        }
    }
    if (isCurrentDue) {
        passedOnAt_ = now;
    }
    return changed;
}

std::vector<MemberCounts> OwnWindowCounts::overdue(MonotonicTime now) const
{
    std::vector<MemberCounts> counts;
    for (const auto &[number, window] : windows_) {
        if (window.counts_.counts_.isFinal_ && now - window.endedAt_ >= OverdueTime) {
            counts.push_back(window.counts_);
        }
    }
    return counts;
}

std::vector<MemberCounts> OwnWindowCounts::finish(UsageWindow current)
{
    windowOf(current);
    std::vector<MemberCounts> counts;
    for (auto &[number, window] : windows_) {
        window.counts_.counts_.isFinal_ = true;
        ++window.counts_.version_;
        counts.push_back(window.counts_);
    }
    return counts;
}

void OwnWindowCounts::stored(UsageWindow window, std::uint64_t version)
{
    const auto found = windows_.find(window);
    const bool isAll =
        found != windows_.end() && found->second.counts_.counts_.isFinal_ && found->second.counts_.version_ <= version && !found->second.isChanged_;
    if (isAll) {
        windows_.erase(found);
    }
}

} // namespace cowsliphead

#include "relay/usageoutbox.h"

namespace cowsliphead
{

void UsageOutbox::put(const MemberCounts &counts)
{
    entries_[counts.counts_.window_].counts_ = counts;
    if (entries_.size() > MaxWindows) {
        entries_.erase(entries_.begin());
    }
}

std::vector<MemberCounts> UsageOutbox::toSend() const
{
    std::vector<MemberCounts> counts;
    for (const auto &[window, entry] : entries_) {
        if (entry.counts_.version_ > entry.deliveredVersion_) {
            counts.push_back(entry.counts_);
        }
    }
    return counts;
}

void UsageOutbox::delivered(const std::vector<MemberCounts> &counts)
{
    for (const auto &sent : counts) {
        const auto found = entries_.find(sent.counts_.window_);
        if (found != entries_.end()) {
            found->second.deliveredVersion_ = sent.version_;
        }
    }
}

void UsageOutbox::relayChanged()
{
    for (auto &[window, entry] : entries_) {
        entry.deliveredVersion_ = 0;
    }
}

void UsageOutbox::stored(const CountsStored &counts)
{
    const auto found = entries_.find(counts.window_);
    const bool isAll = found != entries_.end() && found->second.counts_.counts_.isFinal_ && found->second.counts_.version_ <= counts.version_;
    if (isAll) {
        entries_.erase(found);
    }
}

} // namespace cowsliphead

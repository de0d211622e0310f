#include "decide/usagetally.h"

namespace cowsliphead
{

bool UsageTally::add(const UsageEntry &entry, UsageWindow window)
{
    if (!markCounted(entry.sequence_)) {
        return false;
    }
    advanceTo(window);
    counter_.total_[entry.subject_] += entry.figures_;
    return true;
}

const UsageCounter &UsageTally::counter() const
{
    return counter_;
}

void UsageTally::subtractUsage(const UsageSums &counted)
{
    counter_.total_ = usageDifference(counter_.total_, counted);
    // The rest can no longer be assigned to windows: all of it counts for the newest.
    counter_.earlier_.clear();
}

bool UsageTally::markCounted(std::uint64_t sequence)
{
    if (sequence < firstMissing_ || !countedAhead_.insert(sequence).second) {
        return false;
    }
    while (!countedAhead_.empty() && *countedAhead_.begin() == firstMissing_) {
        countedAhead_.erase(countedAhead_.begin());
        ++firstMissing_;
    }
    return true;
}

void UsageTally::advanceTo(UsageWindow window)
{
    if (window > counter_.window_) {
        counter_.window_ = window;
        counter_.earlier_ = counter_.total_;
    }
}

} // namespace cowsliphead

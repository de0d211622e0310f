#include "decide/usagetally.h"

namespace cowsliphead
{

bool UsageTally::add(const UsageEntry &entry, UsageWindow window)
{
    if (!isNew(entry.sequence_)) {
        return false;
    }
    enter(window);
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
    // Which window the rest belongs to is no longer told apart: all of it counts for the newest.
    counter_.earlier_.clear();
}

bool UsageTally::isNew(std::uint64_t sequence)
{
    if (sequence < firstMissing_ || !later_.insert(sequence).second) {
        return false;
    }
    while (!later_.empty() && *later_.begin() == firstMissing_) {
        later_.erase(later_.begin());
        ++firstMissing_;
    }
    return true;
}

void UsageTally::enter(UsageWindow window)
{
    if (window > counter_.window_) {
        counter_.window_ = window;
        counter_.earlier_ = counter_.total_;
    }
}

} // namespace cowsliphead

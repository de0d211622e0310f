#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

#include "core/accountid.h"
#include "core/time.h"
#include "usage/membercounts.h"

namespace cowsliphead
{

/// What this gateway has counted in each window, until the store holds it. Thread safety: owner task only.
class OwnWindowCounts
{
public:
    /// gateway identifies this run of the process and is never reused.
    explicit OwnWindowCounts(InstanceId gateway);

    void count(const AccountId &account, UsageWindow window);

    /// Returns the counts to pass on now: those of windows that have ended, if they changed, and those of the current window once in
    /// an interval. A window that has ended is passed on even without requests, so that the reporter knows that nothing is missing.
    std::vector<MemberCounts> takeChanged(UsageWindow current, MonotonicTime now);

    /// Returns the counts of windows that ended some time ago and that the store does not hold yet.
    std::vector<MemberCounts> overdue(MonotonicTime now) const;

    /// Returns all counts that the store does not hold yet, as final ones.
    std::vector<MemberCounts> finish(UsageWindow current);

    /// The store holds the counts of a window up to a version.
    void stored(UsageWindow window, std::uint64_t version);

private:
    /// Interval at which the counts of the current window are passed on. A killed process loses those of one interval.
    static constexpr std::chrono::milliseconds PassOnInterval{ 1000 };

    /// Time from the end of a window after which its counts are overdue: a few queries to a relay and the relay's write.
    static constexpr std::chrono::milliseconds OverdueTime{ 2500 };

    /// Number of windows after which counts that the store has not accepted are dropped, because the reporter no longer uses them.
    static constexpr UsageWindow RetainedWindows = 3;

    struct Window {
        MemberCounts counts_;
        MonotonicTime endedAt_;
        bool isChanged_ = true;
    };

    Window &windowOf(UsageWindow window);
    void dropOld(UsageWindow current);

    InstanceId gateway_;
    std::map<UsageWindow, Window> windows_;
    MonotonicTime passedOnAt_;
};

} // namespace cowsliphead

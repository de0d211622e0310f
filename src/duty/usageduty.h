#pragma once

#include <algorithm>
#include <utility>

#include "core/clock.h"
#include "duty/dutysettings.h"
#include "duty/ownwindowcounts.h"
#include "duty/usagelinks.h"
#include "duty/windowcountsreporter.h"
#include "duty/windowcountswriter.h"
#include "usage/requeststarted.h"

namespace cowsliphead
{

/// Counts this process's requests and passes the counts on to the relay of the failure domain, whose duty writes them to the store; writes them
/// itself if that takes too long. Reports the counts of all processes while it holds the duties.
/// Thread safety: all members, on the store's task only.
template <RangedStore S, DutyPlatform P, Clock C>
class UsageDuty
{
public:
    /// activeTerm returns the term of the duty while the process may act; onRefused is called if another holder has a higher fencing number; links
    /// lead to the relay. Precondition: store, platform and clock outlive the duty, which outlives their replies.
    UsageDuty(S &store,
              P &platform,
              const C &clock,
              const DutySettings &settings,
              const InstanceId &incarnation,
              std::function<std::optional<DutyTerm>()> activeTerm,
              std::function<void()> onRefused,
              UsageLinks links)
        : settings_(settings)
        , startedAt_(clock.now())
        , wallStartedAt_(clock.wallNow())
        , links_(std::move(links))
        , own_(incarnation)
        , writer_(store, incarnation, [stored = links_.stored_](const CountsStored &counts) { stored.send(counts); })
        , reporter_(store, platform, std::move(activeTerm), std::move(onRefused))
    {
    }

    void count(const RequestStarted &request)
    {
        own_.count(request.account_, windowAt(request.at_));
    }

    /// As the duty of a relay: takes the counts of a gateway of the failure domain.
    void add(const MemberCounts &counts)
    {
        writer_.add(counts);
    }

    /// The store holds counts of this gateway.
    void stored(const CountsStored &counts)
    {
        own_.stored(counts.window_, counts.version_);
    }

    /// Sets the number of gateways whose counts make up a window.
    void setGatewayCount(std::size_t gateways)
    {
        gateways_ = gateways;
    }

    /// Passes this gateway's counts on, and writes what it has taken: some time after the end of each window, and at intervals in between.
    void tick(MonotonicTime now)
    {
        const auto window = windowAt(now);
        if (now - restoredAt_ >= MinRewriteInterval) {
            restoredAt_ = now;
            reporter_.restoreSeals();
        }
        for (const auto &counts : own_.takeChanged(window, now)) {
            links_.counts_.send(counts);
        }
        for (const auto &counts : own_.overdue(now)) {
            writer_.add(counts);
        }
        const bool isSettled = windowAt(now - SettleTime) == window;
        const bool isDue = writer_.isBehind(window) ? isSettled && now - flushedAt_ >= MinRewriteInterval : now - flushedAt_ >= flushInterval();
        if (isDue) {
            flushedAt_ = now;
            writer_.flush(window);
        }
    }

    /// Reports the last windows, at most once per ReportInterval; while the number of gateways is not known, only those whose deadline is
    /// near. Precondition: the process may act.
    void report(MonotonicTime now)
    {
        if (now - reportedAt_ < ReportInterval) {
            return;
        }
        reportedAt_ = now;
        if (!reporter_.prepare(windowAt(now))) {
            return;
        }
        const auto newest = windowAt(now - ReportDelay) - 1;
        for (auto window = newest - LookbackWindows; window <= newest; ++window) {
            const bool isLate = window <= windowAt(now - (settings_.reportDeadline_ - LateMargin)) - 1;
            if (isLate || gateways_ > 0) {
                reporter_.report(window, isLate ? 0 : gateways_);
            }
        }
    }

    /// Writes the counts of the current window as final. Precondition: count() is not called any more.
    void complete(MonotonicTime now)
    {
        for (const auto &counts : own_.finish(windowAt(now))) {
            writer_.add(counts);
        }
        flush(now);
    }

    /// Writes what the store lacks, unless a write is under way. Precondition: complete() was called.
    void flush(MonotonicTime now)
    {
        writer_.flush(windowAt(now) + 1);
    }

    /// True if the store has all counts.
    bool isFlushed() const
    {
        return writer_.isFlushed();
    }

private:
    /// A killed process loses the counts of at most one interval between writes. This is the shortest interval; it is longer in a large
    /// fleet, where one process has a smaller share of the requests.
    static constexpr std::chrono::milliseconds MinFlushInterval{ 1500 };

    /// Time from the end of a window until its counts are written, in which the gateways of the failure domain pass them on.
    static constexpr std::chrono::milliseconds SettleTime{ 600 };

    /// Time between two writes of a window that has ended, or of what the store has lost.
    static constexpr std::chrono::milliseconds MinRewriteInterval{ 500 };

    /// Share of a window's requests that may be lost with a killed process; less than the tolerance of a report.
    static constexpr double MaxLossPerKill = 0.03;

    /// Time from the end of a window to its report, for the last flush of each gateway and the store's answer.
    static constexpr std::chrono::milliseconds ReportDelay{ 1000 };

    /// Time left until a report's deadline when it no longer waits for missing counts; enough for a few calls to a slow platform.
    static constexpr std::chrono::milliseconds LateMargin{ 2500 };

    /// Time between two attempts to report.
    static constexpr std::chrono::milliseconds ReportInterval{ 500 };

    /// Number of windows before the newest that a new holder checks for missing reports.
    static constexpr UsageWindow LookbackWindows = 2;

    /// Returns the wall time derived from the monotonic clock and the wall clock at the start; later jumps of the wall clock have no effect.
    WallTime wallTimeAt(MonotonicTime at) const
    {
        return wallStartedAt_ + std::chrono::duration_cast<WallTime::duration>(at - startedAt_);
    }

    UsageWindow windowAt(MonotonicTime at) const
    {
        return usageWindowAt(wallTimeAt(at), settings_.windowLength_);
    }

    std::chrono::milliseconds flushInterval() const
    {
        const double share = MaxLossPerKill * static_cast<double>(gateways_);
        return std::max(MinFlushInterval, std::chrono::duration_cast<std::chrono::milliseconds>(settings_.windowLength_ * share));
    }

    DutySettings settings_;
    MonotonicTime startedAt_;
    WallTime wallStartedAt_;
    UsageLinks links_;
    OwnWindowCounts own_;
    WindowCountsWriter<S> writer_;
    WindowCountsReporter<S, P> reporter_;

    /// Zero while unknown.
    std::size_t gateways_ = 0;
    MonotonicTime flushedAt_;
    MonotonicTime reportedAt_;
    MonotonicTime restoredAt_;
};

} // namespace cowsliphead

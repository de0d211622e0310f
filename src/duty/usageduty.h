#pragma once

#include <algorithm>
#include <utility>

#include "core/clock.h"
#include "duty/dutysettings.h"
#include "duty/gatewaycensus.h"
#include "duty/windowreporter.h"
#include "duty/windowwriter.h"
#include "fleet/gatewaycount.h"
#include "task/address.h"
#include "usage/requeststarted.h"

namespace cowsliphead
{

/// Counts this process's requests, writes the counts to the store, and reports all processes' counts while it holds the duties.
template <RangedStore S, DutyPlatform P, Clock C>
class UsageDuty
{
public:
    /// authority: the fencing number while the process may act. onRefused: another holder has a higher one. counts hears how many
    /// gateways there are. Precondition: store, platform and clock outlive the duty, which outlives their answers.
    /// Thread safety: the store's task only.
    UsageDuty(S &store,
              P &platform,
              const C &clock,
              const DutySettings &settings,
              const InstanceId &incarnation,
              std::function<std::optional<FencingNumber>()> authority,
              std::function<void()> onRefused,
              Address<GatewayCount> counts)
        : store_(store)
        , settings_(settings)
        , counts_(std::move(counts))
        , startedAt_(clock.now())
        , startedOn_(clock.wallNow())
        , writer_(store, incarnation)
        , reporter_(store, platform, std::move(authority), std::move(onRefused))
    {
    }

    /// Thread safety: the store's task only.
    void count(const RequestStarted &begun)
    {
        writer_.count(begun.account_, windowAt(begun.at_));
    }

    /// Writes at each window's end, and in between at intervals; counts the gateways. Thread safety: the store's task only.
    void tick(MonotonicTime now)
    {
        flush(now);
        countGateways(now);
    }

    /// Reports the last windows, at intervals. Precondition: the process may act. Thread safety: the store's task only.
    void report(MonotonicTime now)
    {
        if (now - reportedAt_ < ReportInterval) {
            return;
        }
        reportedAt_ = now;
        const auto newest = windowAt(now - ReportDelay) - 1;
        for (auto window = newest - WindowsBack; window <= newest; ++window) {
            const bool isLate = window <= windowAt(now - (settings_.reportDeadline_ - LateMargin)) - 1;
            reporter_.report(window, isLate ? 0 : census_.count());
        }
    }

    /// No further request is counted: the window in hand is complete as far as this process is concerned. Thread safety: the store's
    /// task only.
    void complete(MonotonicTime now)
    {
        writer_.flush(windowAt(now) + 1);
    }

    /// True if all counts lie in the store. Thread safety: the store's task only.
    bool isFlushed() const
    {
        return writer_.isFlushed();
    }

    /// Gateways that wrote counts lately; zero while none is known. Thread safety: the store's task only.
    std::size_t gatewayCount() const
    {
        return census_.count();
    }

private:
    /// A killed process loses what it has counted for so long; longer in a fleet where its share is small.
    static constexpr std::chrono::milliseconds ShortestFlushInterval{ 1500 };

    /// The part of a window's requests that a killed process may lose: less than the tolerance of a report.
    static constexpr double LossPerKill = 0.03;

    /// After a window's end: the last flush of each gateway and the store's answer.
    static constexpr std::chrono::milliseconds ReportDelay{ 1000 };

    /// What is left of a report's time when it no longer waits for gateways whose counts are missing: a few calls to a slow platform.
    static constexpr std::chrono::milliseconds LateMargin{ 2500 };

    /// Between two tries to report.
    static constexpr std::chrono::milliseconds ReportInterval{ 500 };

    /// Windows that a new holder looks back for.
    static constexpr UsageWindow WindowsBack = 2;

    /// Gateways are counted once in so many windows: their number changes by restarts and replacements only.
    static constexpr UsageWindow WindowsBetweenCounts = 2;

    /// True time, by the wall clock at the start: later jumps of the wall clock do not count.
    WallTime trueTime(MonotonicTime at) const
    {
        return startedOn_ + std::chrono::duration_cast<WallTime::duration>(at - startedAt_);
    }

    UsageWindow windowAt(MonotonicTime at) const
    {
        return usageWindowAt(trueTime(at), settings_.windowLength_);
    }

    void flush(MonotonicTime now)
    {
        const auto window = windowAt(now);
        const auto interval = writer_.isBehind(window) ? ShortestFlushInterval : flushInterval();
        if (window != flushedWindow_ || now - flushedAt_ >= interval) {
            flushedWindow_ = window;
            flushedAt_ = now;
            writer_.flush(window);
        }
    }

    std::chrono::milliseconds flushInterval() const
    {
        const double share = LossPerKill * static_cast<double>(census_.count());
        return std::max(ShortestFlushInterval, std::chrono::duration_cast<std::chrono::milliseconds>(settings_.windowLength_ * share));
    }

    /// Reads who wrote counts of the last whole window: each time until that is known, then at intervals.
    void countGateways(MonotonicTime now)
    {
        const auto window = windowAt(now - ReportDelay) - 1;
        const bool isDue = census_.count() == 0 || window >= countedWindow_ + WindowsBetweenCounts;
        if (window <= countedWindow_ || !isDue) {
            return;
        }
        countedWindow_ = window;
        countGateways(window, {}, 0);
    }

    void countGateways(UsageWindow window, const std::string &after, std::size_t known)
    {
        store_.range(usagecountkeys::countsOf(window), after, [this, window, known](const Result<StoreRange> &page) {
            if (!page) {
                return;
            }
            const auto gateways = known + page->entries_.size();
            if (page->hasMore_ && !page->entries_.empty()) {
                countGateways(window, page->entries_.back().key_, gateways);
                return;
            }
            census_.counted(window, gateways);
            counts_.send(GatewayCount{ census_.count() });
        });
    }

    S &store_;
    DutySettings settings_;
    Address<GatewayCount> counts_;
    MonotonicTime startedAt_;
    WallTime startedOn_;
    WindowWriter<S> writer_;
    WindowReporter<S, P> reporter_;
    GatewayCensus census_;
    MonotonicTime flushedAt_;
    MonotonicTime reportedAt_;
    UsageWindow flushedWindow_ = 0;
    UsageWindow countedWindow_ = 0;
};

} // namespace cowsliphead

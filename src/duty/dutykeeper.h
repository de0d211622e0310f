#pragma once

#include <memory>
#include <optional>
#include <utility>
#include <variant>

#include "core/clock.h"
#include "duty/dutysettings.h"
#include "duty/gatewaycensus.h"
#include "duty/leaseholder.h"
#include "duty/scalebasekeeper.h"
#include "duty/scaleplanner.h"
#include "duty/windowreporter.h"
#include "duty/windowwriter.h"
#include "fleet/fleetsnapshot.h"
#include "fleet/gatewaycount.h"
#include "serve/drainrequest.h"
#include "task/address.h"
#include "task/eventloop.h"
#include "task/timer.h"
#include "usage/requestbegun.h"
#include "usage/usagecomplete.h"

namespace cowsliphead
{

/// Counts this gateway's usage, and carries out the duties while it holds their lease. A task's behaviour.
template <RangedStore S, DutyPlatform P, Clock C>
class DutyKeeper
{
public:
    using Message = std::variant<RequestBegun, FleetSnapshot, DrainRequest, UsageComplete>;

    /// incarnation names this process for good; counts hears how many gateways there are. Precondition: loop, store, platform and
    /// clock outlive the keeper. Thread safety: the loop's task only.
    DutyKeeper(
        EventLoop &loop, S &store, P &platform, const C &clock, const DutySettings &settings, const InstanceId &incarnation, Address<GatewayCount> counts)
        : loop_(loop)
        , store_(store)
        , platform_(platform)
        , clock_(clock)
        , settings_(settings)
        , counts_(std::move(counts))
        , startedAt_(clock.now())
        , startedOn_(clock.wallNow())
        , lease_(store, clock, leasePolicy(settings_), "duty/leader", incarnation.value())
        , writer_(store, incarnation)
        , reporter_(
              store, platform, [this] { return authority(); }, [this] { lease_.resign(); })
        , timer_(loop, [this] { tick(); })
    {
    }

    /// Precondition: called once. Thread safety: the loop's task only.
    void start()
    {
        timer_.startRepeating(TickInterval);
    }

    /// Thread safety: the loop's task only.
    void receive(Message message)
    {
        std::visit([this](const auto &part) { this->take(part); }, std::move(message));
    }

private:
    static constexpr std::chrono::milliseconds TickInterval{ 100 };

    /// A killed process loses what it has counted for so long; longer in a fleet where its share is small.
    static constexpr std::chrono::milliseconds ShortestFlushInterval{ 1500 };

    /// The part of a window's requests that a killed process may lose: less than the tolerance of a report.
    static constexpr double LossPerKill = 0.03;

    /// All candidates together look so often whether the duties are free.
    static constexpr std::chrono::milliseconds LookInterval{ 500 };

    /// After a window's end: the last flush of each gateway and the store's answer.
    static constexpr std::chrono::milliseconds ReportDelay{ 1000 };

    /// What is left of a report's time when it no longer waits for gateways whose counts are missing: a few calls to a slow platform.
    static constexpr std::chrono::milliseconds LateMargin{ 2500 };

    /// Between two tries to report.
    static constexpr std::chrono::milliseconds ReportInterval{ 500 };

    /// Between two looks at the endpoints' number.
    static constexpr std::chrono::milliseconds ScaleInterval{ 500 };

    /// Gateways are counted once in so many windows: their number changes by restarts and replacements only.
    static constexpr UsageWindow WindowsBetweenCounts = 2;

    /// Windows that a new holder looks back for.
    static constexpr UsageWindow WindowsBack = 2;

    /// What a stopping process waits for the store to take its last counts.
    static constexpr std::chrono::milliseconds LastFlush{ 1000 };

    static LeasePolicy leasePolicy(const DutySettings &settings)
    {
        LeasePolicy policy;
        policy.duration_ = settings.leaseDuration_;
        policy.margin_ = settings.leaseDuration_ / 3;
        policy.renewInterval_ = settings.leaseDuration_ / 4;
        policy.successorWait_ = settings.leaseDuration_ / 10;
        policy.candidateInterval_ = settings.leaseDuration_ * 2 / 3;
        return policy;
    }

    /// True time, by the wall clock at the start: later jumps of the wall clock do not count.
    WallTime trueTime(MonotonicTime at) const
    {
        return startedOn_ + std::chrono::duration_cast<WallTime::duration>(at - startedAt_);
    }

    UsageWindow windowAt(MonotonicTime at) const
    {
        return usageWindowAt(trueTime(at), settings_.windowLength_);
    }

    std::optional<FencingNumber> authority() const
    {
        return lease_.mayAct() ? std::optional<FencingNumber>(lease_.fencingNumber()) : std::nullopt;
    }

    void take(const RequestBegun &begun)
    {
        writer_.count(begun.account_, windowAt(begun.at_));
    }

    void take(const FleetSnapshot &fleet)
    {
        fleet_ = fleet;
    }

    /// Another process can take the duties at once; usage is counted until the last answer.
    void take(const DrainRequest & /*request*/)
    {
        isStandingDown_ = true;
        lease_.resign();
        noteTenure();
    }

    void take(const UsageComplete & /*notice*/)
    {
        completeAt_ = clock_.now();
        // The window in hand is complete as well, as far as this process is concerned.
        writer_.flush(windowAt(*completeAt_) + 1);
    }

    void tick()
    {
        const auto now = clock_.now();
        if (completeAt_) {
            if (writer_.isFlushed() || now - *completeAt_ > LastFlush) {
                loop_.stop();
            }
            return;
        }
        flush(now);
        countGateways(now);
        if (isStandingDown_) {
            return;
        }
        lease_.tick();
        noteTenure();
        report(now);
        scale(now);
    }

    void scale(MonotonicTime now)
    {
        if (!lease_.mayAct() || now - scaledAt_ < ScaleInterval) {
            return;
        }
        scaledAt_ = now;
        scaleBase_.tick();
        if (!scaleBase_.isKnown()) {
            return;
        }
        for (const auto &order : planner_.plan(fleet_, now)) {
            logEvent(LogEvent::ServersOrdered,
                     { { "service", order.service_.value() },
                       { "failureDomain", order.domain_.value() },
                       { "reclaimable", order.isReclaimable_ ? "yes" : "no" },
                       { "count", std::uint64_t(order.count_) },
                       { "fence", lease_.fencingNumber() } });
            platform_.orderServers(order, lease_.fencingNumber(), [this, order](const Result<void> &answer) { ordered(order, answer); });
        }
    }

    void ordered(const ServerOrder &order, const Result<void> &answer)
    {
        if (answer) {
            planner_.accepted(order, clock_.now());
            return;
        }
        const bool isRefused = answer.error() == ErrorCode::PlatformRefused;
        logEvent(isRefused ? LogEvent::DutyCallRefused : LogEvent::DutyCallUnanswered,
                 { { "service", order.service_.value() }, { "failureDomain", order.domain_.value() }, { "fence", lease_.fencingNumber() } });
        if (!isRefused) {
            planner_.unanswered(order);
        } else if (order.isReclaimable_) {
            planner_.unavailable(order, clock_.now());
        } else {
            lease_.resign();
        }
    }

    void noteTenure()
    {
        const bool mayAct = lease_.mayAct();
        if (mayAct == wasHolding_) {
            return;
        }
        wasHolding_ = mayAct;
        planner_.reset();
        scaleBase_.forget();
        logEvent(mayAct ? LogEvent::DutyTaken : LogEvent::DutyLeft, { { "fence", lease_.fencingNumber() } });
    }

    /// Writes at each window's end, and in between at intervals.
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
            lease_.setCandidateInterval(LookInterval * std::max<std::size_t>(census_.count(), 1));
            counts_.send(GatewayCount{ census_.count() });
        });
    }

    void report(MonotonicTime now)
    {
        if (!lease_.mayAct() || now - reportedAt_ < ReportInterval) {
            return;
        }
        reportedAt_ = now;
        const auto newest = windowAt(now - ReportDelay) - 1;
        for (auto window = newest - WindowsBack; window <= newest; ++window) {
            const bool isLate = window <= windowAt(now - (settings_.reportBound_ - LateMargin)) - 1;
            reporter_.report(window, isLate ? 0 : census_.count());
        }
    }

    EventLoop &loop_;
    S &store_;
    P &platform_;
    const C &clock_;
    DutySettings settings_;
    Address<GatewayCount> counts_;
    MonotonicTime startedAt_;
    WallTime startedOn_;
    LeaseHolder<S, C> lease_;
    WindowWriter<S> writer_;
    WindowReporter<S, P> reporter_;
    Timer timer_;
    MonotonicTime flushedAt_;
    MonotonicTime reportedAt_;
    MonotonicTime scaledAt_;
    FleetSnapshot fleet_;
    GatewayCensus census_;
    UsageWindow countedWindow_ = 0;
    ScalePlanner planner_;
    ScaleBaseKeeper<S> scaleBase_{ store_, planner_ };
    UsageWindow flushedWindow_ = 0;

    /// When the last request had been counted.
    std::optional<MonotonicTime> completeAt_;
    bool isStandingDown_ = false;
    bool wasHolding_ = false;
};

} // namespace cowsliphead

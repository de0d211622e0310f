#pragma once

#include "core/clock.h"
#include "core/errorcode.h"
#include "duty/dutyplatform.h"
#include "duty/leaseholder.h"
#include "duty/scalebasepersistence.h"
#include "duty/scaleplanner.h"
#include "fleet/fleetsnapshot.h"
#include "logs/log.h"

namespace cowsliphead
{

/// Orders endpoints from the platform while this process holds the duties.
/// Thread safety: all members, on the store's task only.
template <Store S, DutyPlatform P, Clock C>
class ScaleDuty
{
public:
    /// Precondition: all arguments outlive the duty, which outlives their replies.
    ScaleDuty(S &store, P &platform, const C &clock, LeaseHolder<S, C> &lease)
        : platform_(platform)
        , clock_(clock)
        , lease_(lease)
        , basePersistence_(store, planner_)
    {
    }

    /// Sets the current endpoints and configuration.
    void update(const FleetSnapshot &fleet)
    {
        fleet_ = fleet;
    }

    /// Discards the state of earlier orders, because another process may have ordered since.
    void reset()
    {
        planner_.reset();
        basePersistence_.invalidate();
    }

    /// Writes again what a store that came back from a copy has lost. To be called while this process does not hold the duties.
    void restore(MonotonicTime now)
    {
        if (now - orderedAt_ >= OrderInterval) {
            orderedAt_ = now;
            basePersistence_.restore();
        }
    }

    /// Sends the orders that are due, at most once per OrderInterval. Precondition: lease.mayAct().
    void tick(MonotonicTime now)
    {
        if (now - orderedAt_ < OrderInterval) {
            return;
        }
        orderedAt_ = now;
        basePersistence_.tick();
        if (!basePersistence_.isLoaded()) {
            return;
        }
        for (const auto &order : planner_.plan(fleet_, now)) {
            send(order);
        }
    }

private:
    /// Time between two plans.
    static constexpr std::chrono::milliseconds OrderInterval{ 500 };

    void send(const ServerOrder &order)
    {
        logEvent(LogEvent::ServersOrdered,
                 { { "service", order.service_.value() },
                   { "failureDomain", order.domain_.value() },
                   { "reclaimable", order.isReclaimable_ ? "yes" : "no" },
                   { "count", std::uint64_t(order.count_) },
                   { "fence", lease_.fencingNumber() } });
        platform_.orderServers(order, lease_.fencingNumber(), [this, order](const Result<void> &answer) { answered(order, answer); });
    }

    void answered(const ServerOrder &order, const Result<void> &answer)
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
            // The platform may have no such endpoints at the moment. If the fencing number was refused, the next usage report is refused too.
            planner_.unavailable(order, clock_.now());
        } else {
            lease_.resign();
        }
    }

    P &platform_;
    const C &clock_;
    LeaseHolder<S, C> &lease_;
    FleetSnapshot fleet_;
    ScalePlanner planner_;
    ScaleBasePersistence<S> basePersistence_;
    MonotonicTime orderedAt_;
};

} // namespace cowsliphead

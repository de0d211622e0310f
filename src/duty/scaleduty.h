#pragma once

#include "core/clock.h"
#include "core/errorcode.h"
#include "duty/dutyplatform.h"
#include "duty/leaseholder.h"
#include "duty/scalebasekeeper.h"
#include "duty/scaleplanner.h"
#include "fleet/fleetsnapshot.h"
#include "logs/log.h"

namespace cowsliphead
{

/// Orders endpoints from the platform while this process holds the duties.
template <Store S, DutyPlatform P, Clock C>
class ScaleDuty
{
public:
    /// Precondition: all outlive the duty, which outlives their answers. Thread safety: the store's task only.
    ScaleDuty(S &store, P &platform, const C &clock, LeaseHolder<S, C> &lease)
        : platform_(platform)
        , clock_(clock)
        , lease_(lease)
        , base_(store, planner_)
    {
    }

    /// The endpoints or the configuration have changed. Thread safety: the store's task only.
    void update(const FleetSnapshot &fleet)
    {
        fleet_ = fleet;
    }

    /// Another process may have ordered since. Thread safety: the store's task only.
    void reset()
    {
        planner_.reset();
        base_.forget();
    }

    /// Orders what is missing, at intervals. Precondition: the lease may act. Thread safety: the store's task only.
    void tick(MonotonicTime now)
    {
        if (now - orderedAt_ < OrderInterval) {
            return;
        }
        orderedAt_ = now;
        base_.tick();
        if (!base_.isKnown()) {
            return;
        }
        for (const auto &order : planner_.plan(fleet_, now)) {
            send(order);
        }
    }

private:
    /// Between two looks at the endpoints' number.
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
            // None may be had at the moment; whether the fencing number was refused shows at the next report.
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
    ScaleBaseKeeper<S> base_;
    MonotonicTime orderedAt_;
};

} // namespace cowsliphead

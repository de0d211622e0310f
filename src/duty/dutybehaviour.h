#pragma once

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

#include "core/clock.h"
#include "duty/dutysettings.h"
#include "duty/leaseholder.h"
#include "duty/scaleduty.h"
#include "duty/usageduty.h"
#include "fleet/fleetsnapshot.h"
#include "fleet/gatewaycount.h"
#include "serve/drainrequest.h"
#include "task/eventloop.h"
#include "task/timer.h"
#include "usage/usagecomplete.h"

namespace cowsliphead
{

/// Task behaviour that counts this gateway's usage and, while this process holds the duty lease, reports the usage of all gateways
/// and orders endpoints.
/// Thread safety: all members, on the loop's task only.
template <RangedStore S, DutyPlatform P, Clock C>
class DutyBehaviour
{
public:
    using Message = std::variant<RequestStarted, FleetSnapshot, GatewayCount, MemberCounts, CountsStored, DrainRequest, UsageComplete>;

    /// incarnation identifies this run of the process and is never reused; links lead to the relay. Precondition: loop, store, platform and
    /// clock outlive the behaviour.
    DutyBehaviour(EventLoop &loop, S &store, P &platform, const C &clock, const DutySettings &settings, const InstanceId &incarnation, UsageLinks links)
        : loop_(loop)
        , clock_(clock)
        , stopGrace_(settings.stopGrace_)
        , lease_(store, clock, leasePolicy(settings), "duty/leader", incarnation.value())
        , usage_(
              store, platform, clock, settings, incarnation, [this] { return activeTerm(); }, [this] { lease_.resign(); }, std::move(links))
        , scale_(store, platform, clock, lease_)
        , timer_(loop, [this] { tick(); })
    {
    }

    /// Precondition: called once.
    void start()
    {
        timer_.startRepeating(TickInterval);
    }

    void receive(Message message)
    {
        std::visit([this](const auto &typedMessage) { this->handle(typedMessage); }, std::move(message));
    }

private:
    static constexpr std::chrono::milliseconds TickInterval{ 100 };

    /// Mean time between two checks, by any of the candidates, whether the duty lease is free. The interval of one candidate is this times the
    /// number of gateways.
    static constexpr std::chrono::milliseconds CandidateInterval{ 500 };

    /// How long before it is killed a stopping process gives up its last counts if the store has not accepted them.
    static constexpr std::chrono::milliseconds EndMargin{ 200 };

    static LeasePolicy leasePolicy(const DutySettings &settings)
    {
        LeasePolicy policy;
        policy.duration_ = settings.leaseDuration_;
        policy.margin_ = settings.leaseDuration_ / 3;
        policy.renewInterval_ = settings.leaseDuration_ / 4;
        policy.successorWait_ = settings.leaseDuration_ / 10;
        policy.candidateInterval_ = settings.leaseDuration_ * 4 / 3;
        return policy;
    }

    std::optional<DutyTerm> activeTerm() const
    {
        return lease_.mayAct() ? std::optional(lease_.duty()) : std::nullopt;
    }

    void handle(const RequestStarted &request)
    {
        usage_.count(request);
    }

    void handle(const FleetSnapshot &fleet)
    {
        scale_.update(fleet);
    }

    void handle(const MemberCounts &counts)
    {
        usage_.add(counts);
    }

    void handle(const CountsStored &counts)
    {
        usage_.stored(counts);
    }

    void handle(const GatewayCount &gateways)
    {
        usage_.setGatewayCount(gateways.count_);
        lease_.setCandidateInterval(CandidateInterval * std::max<std::size_t>(1, gateways.count_));
    }

    /// Releases the lease so that another process can take the duties at once. Usage is counted until the last answer has ended.
    void handle(const DrainRequest & /*request*/)
    {
        drainStartedAt_ = clock_.now();
        lease_.resign();
        handleDutyChange();
    }

    void handle(const UsageComplete & /*notice*/)
    {
        completedAt_ = clock_.now();
        usage_.complete(*completedAt_);
    }

    void tick()
    {
        const auto now = clock_.now();
        if (completedAt_) {
            stopOnceFlushed(now);
            return;
        }
        usage_.tick(now);
        if (drainStartedAt_) {
            return;
        }
        lease_.tick();
        handleDutyChange();
        if (lease_.mayAct()) {
            usage_.report(now);
            scale_.tick(now);
        } else {
            scale_.restore(now);
        }
    }

    /// The store may be away, and the counts are nowhere else.
    void stopOnceFlushed(MonotonicTime now)
    {
        if (usage_.isFlushed()) {
            loop_.stop();
        } else if (now >= drainStartedAt_.value_or(*completedAt_) + stopGrace_ - EndMargin) {
            logEvent(LogEvent::UsageLeftBehind);
            loop_.stop();
        } else {
            usage_.flush(now);
        }
    }

    void handleDutyChange()
    {
        const bool mayAct = lease_.mayAct();
        if (mayAct == wasActing_) {
            return;
        }
        wasActing_ = mayAct;
        scale_.reset();
        logEvent(mayAct ? LogEvent::DutyTaken : LogEvent::DutyLeft, { { "fence", lease_.fencingNumber() } });
    }

    EventLoop &loop_;
    const C &clock_;
    std::chrono::milliseconds stopGrace_;
    LeaseHolder<S, C> lease_;
    UsageDuty<S, P, C> usage_;
    ScaleDuty<S, P, C> scale_;
    Timer timer_;

    /// When UsageComplete was received: no more requests are counted.
    std::optional<MonotonicTime> completedAt_;
    std::optional<MonotonicTime> drainStartedAt_;
    bool wasActing_ = false;
};

} // namespace cowsliphead

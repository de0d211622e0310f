#pragma once

#include <optional>
#include <utility>
#include <variant>

#include "core/clock.h"
#include "duty/dutysettings.h"
#include "duty/leaseholder.h"
#include "duty/scaleduty.h"
#include "duty/usageduty.h"
#include "fleet/fleetsnapshot.h"
#include "serve/drainrequest.h"
#include "task/eventloop.h"
#include "task/timer.h"
#include "usage/usagecomplete.h"

namespace cowsliphead
{

/// Counts this gateway's usage, and carries out the duties while it holds their lease. A task's behaviour.
template <RangedStore S, DutyPlatform P, Clock C>
class DutyBehaviour
{
public:
    using Message = std::variant<RequestStarted, FleetSnapshot, DrainRequest, UsageComplete>;

    /// incarnation names this process for good; counts hears how many gateways there are. Precondition: loop, store, platform and
    /// clock outlive the keeper. Thread safety: the loop's task only.
    DutyBehaviour(
        EventLoop &loop, S &store, P &platform, const C &clock, const DutySettings &settings, const InstanceId &incarnation, Address<GatewayCount> counts)
        : loop_(loop)
        , clock_(clock)
        , lease_(store, clock, leasePolicy(settings), "duty/leader", incarnation.value())
        , usage_(
              store, platform, clock, settings, incarnation, [this] { return authority(); }, [this] { lease_.resign(); }, std::move(counts))
        , scale_(store, platform, clock, lease_)
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

    /// All candidates together look so often whether the duties are free.
    static constexpr std::chrono::milliseconds LookInterval{ 500 };

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

    std::optional<FencingNumber> authority() const
    {
        return lease_.mayAct() ? std::optional<FencingNumber>(lease_.fencingNumber()) : std::nullopt;
    }

    void take(const RequestStarted &begun)
    {
        usage_.count(begun);
    }

    void take(const FleetSnapshot &fleet)
    {
        scale_.update(fleet);
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
        usage_.complete(*completeAt_);
    }

    void tick()
    {
        const auto now = clock_.now();
        if (completeAt_) {
            endOnceFlushed(now);
            return;
        }
        usage_.tick(now);
        if (isStandingDown_) {
            return;
        }
        if (const auto gateways = usage_.gatewayCount(); gateways > 0) {
            lease_.setCandidateInterval(LookInterval * gateways);
        }
        lease_.tick();
        noteTenure();
        if (lease_.mayAct()) {
            usage_.report(now);
            scale_.tick(now);
        }
    }

    void endOnceFlushed(MonotonicTime now)
    {
        if (usage_.isFlushed() || now - *completeAt_ > LastFlush) {
            loop_.stop();
        }
    }

    void noteTenure()
    {
        const bool mayAct = lease_.mayAct();
        if (mayAct == wasHolding_) {
            return;
        }
        wasHolding_ = mayAct;
        scale_.reset();
        logEvent(mayAct ? LogEvent::DutyTaken : LogEvent::DutyLeft, { { "fence", lease_.fencingNumber() } });
    }

    EventLoop &loop_;
    const C &clock_;
    LeaseHolder<S, C> lease_;
    UsageDuty<S, P, C> usage_;
    ScaleDuty<S, P, C> scale_;
    Timer timer_;

    /// When the last request had been counted.
    std::optional<MonotonicTime> completeAt_;
    bool isStandingDown_ = false;
    bool wasHolding_ = false;
};

} // namespace cowsliphead

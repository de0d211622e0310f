#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "duty/leaseholder.h"
#include "duty/simulatedstore.h"
#include "duty/usageduty.h"
#include "duty/usagereports.h"

namespace cowsliphead
{

/// One run of a gateway that counts requests, writes the counts itself, and reports those of all gateways while it holds the duties.
class UsageGateway
{
public:
    /// Calls the platform in the name of one holder; an answer may be lost. Models DutyPlatform.
    class Platform
    {
    public:
        Platform(UsageReports &reports, std::string holder)
            : reports_(reports)
            , holder_(std::move(holder))
        {
        }

        void reportUsage(const WindowCounts &counts, FencingNumber fence, const std::function<void(Result<void>)> &reply)
        {
            const auto answer = reports_.arrives(holder_, counts, fence);
            reply(isAnswerLost_ ? Result<void>(failure(ErrorCode::PlatformUnavailable)) : answer);
        }

        void orderServers(const ServerOrder & /*order*/, FencingNumber /*fence*/, const std::function<void(Result<void>)> & /*reply*/)
        {
        }

        bool isAnswerLost_ = false;

    private:
        UsageReports &reports_;
        std::string holder_;
    };

    UsageGateway(MemoryStore &store, const VirtualClock &clock, UsageReports &reports, const std::string &name)
        : clock_(clock)
        , store_(store, clock)
        , platform_(reports, name)
        , lease_(store_, clock, policy(), "duty/leader", name)
        , duty_(
              store_,
              platform_,
              clock,
              DutySettings(),
              InstanceId(name),
              [this] { return mayAct() ? std::optional(lease_.duty()) : std::nullopt; },
              [this] { lease_.resign(); },
              UsageLinks{ Address<MemberCounts>([this](const MemberCounts &counts) { duty_.add(counts); }),
                          Address<CountsStored>([this](const CountsStored &counts) { duty_.stored(counts); }) })
    {
    }

    SimulatedStore &store()
    {
        return store_;
    }

    Platform &platform()
    {
        return platform_;
    }

    bool mayAct() const
    {
        return lease_.mayAct();
    }

    void freeze(std::chrono::milliseconds duration)
    {
        frozenUntil_ = clock_.now() + duration;
    }

    void resign()
    {
        lease_.resign();
    }

    void count(const AccountId &account)
    {
        duty_.count({ account, clock_.now() });
    }

    void run(std::size_t gateways)
    {
        const auto now = clock_.now();
        if (now < frozenUntil_) {
            return;
        }
        store_.deliver();
        duty_.setGatewayCount(gateways);
        duty_.tick(now);
        lease_.tick();
        if (lease_.mayAct()) {
            duty_.report(now);
        }
    }

private:
    /// As DutyBehaviour has it for a lease of 3 s.
    static LeasePolicy policy()
    {
        LeasePolicy policy;
        policy.duration_ = std::chrono::milliseconds(3000);
        policy.margin_ = policy.duration_ / 3;
        policy.renewInterval_ = policy.duration_ / 4;
        policy.successorWait_ = policy.duration_ / 10;
        policy.candidateInterval_ = std::chrono::milliseconds(1500);
        return policy;
    }

    const VirtualClock &clock_;
    SimulatedStore store_;
    Platform platform_;
    LeaseHolder<SimulatedStore, VirtualClock> lease_;
    UsageDuty<SimulatedStore, Platform, VirtualClock> duty_;
    MonotonicTime frozenUntil_;
};

} // namespace cowsliphead

#pragma once

#include <optional>
#include <string>

#include "duty/dutycallrecord.h"
#include "duty/leaseholder.h"
#include "duty/simulatedstore.h"
#include "duty/skewedclock.h"

namespace cowsliphead
{

/// Simulated process that is a candidate for the duty and calls the platform in each turn in which it may act. It can be frozen between the check
/// and the call, can be cut from the store or the platform, and can have a store that answers late.
class DutyCandidate
{
public:
    static constexpr std::chrono::milliseconds LeaseDuration{ 3000 };

    DutyCandidate(MemoryStore &store, const VirtualClock &clock, DutyCallRecord &record, int number, const std::string &name)
        : clock_(clock)
        , skewedClock_(clock, 1.0 + RateStep * number)
        , record_(record)
        , name_(name)
        , store_(store, clock)
        , lease_(store_, skewedClock_, policy(), "duty/leader", name_)
    {
    }

    SimulatedStore &store()
    {
        return store_;
    }

    /// The process stops for a while; with isBeforeCall, between the check of its lease and its next call.
    void freeze(std::chrono::milliseconds duration, bool isBeforeCall)
    {
        frozenUntil_ = clock_.now() + duration;
        checkedFence_ = isBeforeCall && lease_.mayAct() ? std::optional(lease_.fencingNumber()) : std::nullopt;
    }

    /// Answers of the store are held back, and writes take effect at once.
    void delayAnswers(std::chrono::milliseconds duration)
    {
        answersFrom_ = clock_.now() + duration;
    }

    /// Calls are held back until the end of the cut.
    void cutPlatform(std::chrono::milliseconds duration)
    {
        cutUntil_ = clock_.now() + duration;
    }

    /// Calls take this long to arrive.
    void setCallLatency(std::chrono::milliseconds latency)
    {
        callLatency_ = latency;
    }

    void resign()
    {
        if (clock_.now() >= frozenUntil_) {
            lease_.resign();
        }
    }

    bool mayAct() const
    {
        return lease_.mayAct();
    }

    void run()
    {
        const auto now = clock_.now();
        if (now < frozenUntil_) {
            return;
        }
        if (checkedFence_) {
            send(*checkedFence_);
            checkedFence_.reset();
        }
        if (now >= answersFrom_) {
            store_.deliver();
        }
        lease_.tick();
        if (lease_.mayAct()) {
            send(lease_.fencingNumber());
        }
    }

private:
    static constexpr double RateStep = 0.002;

    /// As DutyBehaviour has it for a lease of 3 s.
    static LeasePolicy policy()
    {
        LeasePolicy policy;
        policy.duration_ = LeaseDuration;
        policy.margin_ = LeaseDuration / 3;
        policy.renewInterval_ = LeaseDuration / 4;
        policy.successorWait_ = LeaseDuration / 10;
        policy.candidateInterval_ = LeaseDuration / 2;
        return policy;
    }

    void send(FencingNumber fence)
    {
        const auto now = clock_.now();
        const auto thawedAt = std::max(frozenUntil_, cutUntil_);
        record_.arrives({ std::max(now, cutUntil_) + callLatency_, name_, fence, thawedAt });
    }

    const VirtualClock &clock_;
    SkewedClock skewedClock_;
    DutyCallRecord &record_;
    std::string name_;
    SimulatedStore store_;
    LeaseHolder<SimulatedStore, SkewedClock> lease_;
    std::chrono::milliseconds callLatency_{ 20 };
    MonotonicTime frozenUntil_;
    MonotonicTime cutUntil_;
    MonotonicTime answersFrom_;
    std::optional<FencingNumber> checkedFence_;
};

} // namespace cowsliphead

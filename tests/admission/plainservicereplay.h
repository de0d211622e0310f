#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <vector>

#include "core/virtualclock.h"
#include "decide/admission/admissiongate.h"
#include "decide/admission/slotcapacity.h"

/// Plays requests against one endpoint of a plain service behind an admission gate, in virtual time and steps of a millisecond. The endpoint
/// serves in order of arrival, also those requests whose callers have left.
class PlainServiceReplay
{
public:
    /// Requests of one account, evenly spaced.
    struct Load {
        cowsliphead::AccountId account_;
        double requestsPerSecond_ = 0;
        int priority_ = 0;

        /// The callers return one millisecond after each refusal instead of after the stated time.
        bool repeatsAtOnce_ = false;
    };

    struct Figures {
        int requests_ = 0;
        int inTime_ = 0;
        int late_ = 0;

        double share() const
        {
            return requests_ == 0 ? 1.0 : double(inTime_) / requests_;
        }
    };

    static constexpr std::size_t Slots = 6;
    static constexpr std::chrono::milliseconds ServiceTime{ 60 };
    static constexpr std::chrono::milliseconds TimeLimit{ 800 };

    /// More than are ever in flight: the gate sends each request at once, as gateways without adaptive serving do.
    static constexpr std::size_t Unlimited = 1000000;

    explicit PlainServiceReplay(std::size_t maxInFlight)
        : gate_(cowsliphead::SlotCapacity(maxInFlight))
    {
    }

    /// Adds these loads to what waits and runs. The figures are those of the accounts since the beginning.
    void play(const std::vector<Load> &loads, std::chrono::milliseconds duration)
    {
        std::vector<double> due(loads.size(), 0.0);
        for (int step = 0; step < duration.count(); ++step) {
            for (std::size_t index = 0; index < loads.size(); ++index) {
                due[index] += loads[index].requestsPerSecond_ / 1000;
                for (; due[index] >= 1; due[index] -= 1) {
                    requests_.push_back({ loads[index], clock_.now() + TimeLimit });
                    ++figures_[loads[index].account_].requests_;
                    arrive(requests_.size() - 1);
                }
            }
            advance();
        }
    }

    /// Plays on until nothing is left.
    void finish()
    {
        while (!running_.empty() || !backlog_.empty() || !returns_.empty() || gate_.waitingCount() > 0) {
            advance();
        }
    }

    const Figures &figuresOf(const std::string &account)
    {
        return figures_[cowsliphead::AccountId(account)];
    }

    /// Milliseconds in which a slot was idle while a request waited at the gate.
    int idleSteps() const
    {
        return idleSteps_;
    }

private:
    static constexpr std::chrono::milliseconds Step{ 1 };

    struct Request {
        Load load_;
        cowsliphead::MonotonicTime deadline_;
        cowsliphead::MonotonicTime sentAt_{};
    };

    using Index = std::size_t;

    void arrive(Index index)
    {
        const auto &request = requests_[index];
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline_ - clock_.now());
        if (left.count() <= 0) {
            return;
        }
        cowsliphead::AdmissionFacts facts{ .callerTimeLeft_ = left, .routeTimeLeft_ = left, .targetLatency_ = std::chrono::milliseconds(200) };
        const auto decision = gate_.arrive(
            { request.load_.account_, 1, { index, 1, clock_.now() + cowsliphead::latestFirstEvent(left), request.load_.priority_ } }, facts, clock_.now());
        if (decision.kind_ == cowsliphead::AdmissionKind::Send) {
            send(index);
        } else if (decision.kind_ == cowsliphead::AdmissionKind::Refuse) {
            returns_.emplace(clock_.now() + (request.load_.repeatsAtOnce_ ? Step : std::max(Step, decision.retryAfter_)), index);
        }
    }

    void advance()
    {
        clock_.advance(Step);
        const auto now = clock_.now();
        while (!running_.empty() && running_.begin()->first <= now) {
            end(running_.begin()->second);
            running_.erase(running_.begin());
        }
        while (!returns_.empty() && returns_.begin()->first <= now) {
            const auto index = returns_.begin()->second;
            returns_.erase(returns_.begin());
            arrive(index);
        }
        gate_.expire(now, [](const auto & /*late*/) {});
        while (const auto next = gate_.next(now)) {
            send(next->ticket_);
        }
        while (running_.size() < Slots && !backlog_.empty()) {
            running_.emplace(now + ServiceTime, backlog_.front());
            backlog_.pop_front();
        }
        idleSteps_ += running_.size() < Slots && gate_.waitingCount() > 0 ? 1 : 0;
    }

    void send(Index index)
    {
        requests_[index].sentAt_ = clock_.now();
        backlog_.push_back(index);
    }

    void end(Index index)
    {
        const auto &request = requests_[index];
        auto &figures = figures_[request.load_.account_];
        ++(clock_.now() <= request.deadline_ ? figures.inTime_ : figures.late_);
        gate_.finished(request.load_.account_, 1, clock_.now() - request.sentAt_, clock_.now());
    }

    cowsliphead::VirtualClock clock_;
    cowsliphead::AdmissionGate<Index, cowsliphead::SlotCapacity> gate_;
    std::deque<Request> requests_;
    std::deque<Index> backlog_;
    std::multimap<cowsliphead::MonotonicTime, Index> running_;
    std::multimap<cowsliphead::MonotonicTime, Index> returns_;
    std::map<cowsliphead::AccountId, Figures> figures_;
    int idleSteps_ = 0;
};

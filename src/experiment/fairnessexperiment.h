#pragma once

#include <algorithm>
#include <memory>
#include <queue>
#include <random>
#include <tuple>
#include <vector>

#include "core/virtualclock.h"
#include "decide/admission/admissiongate.h"
#include "decide/admission/slotcapacity.h"
#include "experiment/accountstatistics.h"
#include "experiment/fairnesssetup.h"
#include "experiment/fairshares.h"

namespace cowsliphead
{

/// Simulates the daemons' admission gates under a load in virtual time. Queue is the queueing discipline under test.
/// Thread safety: owner only.
template <template <typename> typename Queue>
class FairnessExperiment
{
public:
    explicit FairnessExperiment(const FairnessSetup &setup)
        : setup_(setup)
        , random_(setup.seed_)
    {
        for (std::size_t daemon = 0; daemon < setup_.daemons_; ++daemon) {
            gates_.push_back(std::make_unique<Gate>(SlotCapacity(std::max<std::size_t>(1, setup_.slots_ / setup_.daemons_))));
        }
    }

    /// Returns the statistics of each account, in the order of the setup's loads. Precondition: called once.
    std::vector<AccountStatistics> run()
    {
        for (const auto &load : setup_.loads_) {
            statistics_.push_back({ load.account_ });
        }
        for (std::size_t index = 0; index < setup_.loads_.size(); ++index) {
            scheduleArrival(index);
        }
        const auto end = clock_.now() + setup_.duration_;
        while (!events_.empty() && std::get<MonotonicTime>(events_.top()) < end) {
            const auto [time, kind, subject] = events_.top();
            events_.pop();
            clock_.advance(time - clock_.now());
            kind == EventKind::Arrival ? addRequest(subject) : finishRequest(subject);
        }
        const auto seconds = std::chrono::duration<double>(setup_.duration_).count();
        const auto tokenSeconds = std::chrono::duration<double>(setup_.timePerToken_).count();
        setFairShares(setup_, seconds * static_cast<double>(setup_.slots_) / tokenSeconds, statistics_);
        return statistics_;
    }

private:
    using Ticket = std::size_t;
    using Gate = AdmissionGate<Ticket, SlotCapacity, Queue>;

    enum class EventKind {
        Arrival,
        End,
    };

    struct Request {
        std::size_t load_ = 0;
        std::size_t daemon_ = 0;
        TokenCost cost_ = 1;
        MonotonicTime deadline_;
    };

    /// Time, kind, and index: of the load for an arrival, of the request for an end.
    using Event = std::tuple<MonotonicTime, EventKind, std::size_t>;

    void scheduleArrival(std::size_t load)
    {
        std::exponential_distribution<double> gap(setup_.loads_[load].requestsPerSecond_);
        const auto wait = std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(gap(random_)));
        events_.emplace(clock_.now() + wait, EventKind::Arrival, load);
    }

    void addRequest(std::size_t index)
    {
        scheduleArrival(index);
        const auto &load = setup_.loads_[index];
        std::exponential_distribution<double> tokens(1.0 / load.meanTokens_);
        std::uniform_int_distribution<std::size_t> daemon(0, setup_.daemons_ - 1);
        const Request request{ index, daemon(random_), static_cast<TokenCost>(1 + tokens(random_)), clock_.now() + setup_.maxWait_ };
        requests_.push_back(request);
        statistics_[index].requestedTokens_ += static_cast<double>(request.cost_);
        const Ticket ticket = requests_.size() - 1;
        AdmissionFacts facts{ .callerTimeLeft_ = setup_.maxWait_, .routeTimeLeft_ = setup_.maxWait_ };
        auto &gate = *gates_[request.daemon_];
        const auto decision = gate.arrive({ load.account_, load.weight_, { ticket, request.cost_, request.deadline_ } }, facts, clock_.now());
        if (decision.kind_ == AdmissionKind::Send) {
            startRequest(ticket);
        } else if (decision.kind_ == AdmissionKind::Refuse) {
            ++statistics_[index].refused_;
        }
    }

    void startRequest(Ticket ticket)
    {
        events_.emplace(clock_.now() + setup_.timePerToken_ * requests_[ticket].cost_, EventKind::End, ticket);
    }

    void finishRequest(Ticket ticket)
    {
        const auto request = requests_[ticket];
        auto &gate = *gates_[request.daemon_];
        gate.finished(setup_.loads_[request.load_].account_, request.cost_, std::nullopt, clock_.now());
        statistics_[request.load_].servedTokens_ += static_cast<double>(request.cost_);
        gate.expire(clock_.now(), [this](const WaitingRequest<Ticket> &expired) { ++statistics_[requests_[expired.ticket_].load_].expired_; });
        while (const auto next = gate.next(clock_.now())) {
            startRequest(next->ticket_);
        }
    }

    FairnessSetup setup_;
    std::mt19937_64 random_;
    VirtualClock clock_;
    std::vector<std::unique_ptr<Gate>> gates_;
    std::vector<Request> requests_;
    std::vector<AccountStatistics> statistics_;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
};

} // namespace cowsliphead

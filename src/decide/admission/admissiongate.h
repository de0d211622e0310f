#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <utility>

#include "core/time.h"
#include "decide/admission/accountrates.h"
#include "decide/admission/admissioncapacity.h"
#include "decide/admission/admissiondecision.h"
#include "decide/admission/admissionfacts.h"
#include "decide/admission/admissionrequest.h"
#include "decide/admission/priorityfairqueue.h"
#include "decide/admission/responsetime.h"

namespace cowsliphead
{

/// Decides which requests for one target are sent now, which are queued and which are refused early. Capacity is never idle while a request
/// is queued. Queue: the queueing discipline, PriorityFairQueue or another one for comparison. Thread safety: owner task only.
template <typename Ticket, AdmissionCapacity Capacity, template <typename> typename Queue = PriorityFairQueue>
class AdmissionGate
{
public:
    explicit AdmissionGate(Capacity capacity)
        : capacity_(std::move(capacity))
    {
    }

    /// Decides on a new request, and queues it if it has to wait. Completes the facts by room and, if the request has to wait, by the
    /// expected wait and response time. The request is queued until its deadline less the response time.
    AdmissionDecision arrive(const AdmissionRequest<Ticket> &request, AdmissionFacts &facts, MonotonicTime now)
    {
        facts.hasRoom_ = queue_.size() == 0 && capacity_.hasRoom(now);
        if (!facts.hasRoom_ && capacity_.isCertain(now)) {
            facts.expected_ = expectedWait(request);
        }
        const auto decision = admissionDecision(facts);
        if (decision.kind_ == AdmissionKind::Refuse) {
            return decision;
        }
        if (decision.kind_ == AdmissionKind::Wait && !isMeasuring(now)) {
            rates_.resume(now);
        }
        if (queue_.size(request.account_) == 0) {
            rates_.resume(request.account_, now);
        }
        auto waiting = request.waiting_;
        waiting.deadline_ -= responseTime_.mean().value_or(std::chrono::nanoseconds(0));
        queue_.push(request.account_, request.weight_, waiting);
        if (decision.kind_ == AdmissionKind::Send) {
            queue_.pop();
            capacity_.taken();
        } else {
            lastWaitAt_ = now;
        }
        return decision;
    }

    /// Returns the next queued request, if there is room for it. To be called after each event until it returns nothing.
    std::optional<WaitingRequest<Ticket>> next(MonotonicTime now)
    {
        if (queue_.size() == 0 || !capacity_.hasRoom(now)) {
            return std::nullopt;
        }
        auto waiting = queue_.pop();
        lastWaitAt_ = now;
        capacity_.taken();
        return waiting;
    }

    /// An admitted request has ended with a response. responseTime: since it was sent; absent for a response that is streamed. What is served while nobody
    /// waits shows the demand and not the capacity, so it is not part of the rates.
    void finished(const AccountId &account, TokenCost cost, std::optional<std::chrono::nanoseconds> responseTime, MonotonicTime now)
    {
        capacity_.answered();
        if (responseTime) {
            responseTime_.add(*responseTime);
        }
        if (isMeasuring(now)) {
            rates_.served(cost, now);
        }
        if (queue_.size(account) > 0) {
            rates_.served(account, cost, now);
        }
    }

    /// An admitted request has ended without a response. isFull: because the endpoints had no capacity.
    void failed(bool isFull)
    {
        capacity_.failed(isFull);
    }

    /// Removes a queued request whose caller has disconnected, or that is sent out of turn. Returns false if it is not queued.
    bool cancel(const AccountId &account, const Ticket &ticket)
    {
        return queue_.erase(account, ticket);
    }

    /// Removes each queued request whose deadline has passed, and calls expired with it.
    template <typename Expired>
    void expire(MonotonicTime now, const Expired &expired)
    {
        queue_.expire(now, expired);
    }

    std::size_t waitingCount() const
    {
        return queue_.size();
    }

    const Capacity &capacity() const
    {
        return capacity_;
    }

private:
    /// A queue that was empty for less than this did not leave the capacity idle for a noticeable time.
    static constexpr std::chrono::milliseconds MaxMeasurementGap{ 100 };

    /// True while what is served shows the capacity.
    bool isMeasuring(MonotonicTime now) const
    {
        return queue_.size() > 0 || (lastWaitAt_ && now - *lastWaitAt_ <= MaxMeasurementGap);
    }

    std::optional<FirstEventEstimate> expectedWait(const AdmissionRequest<Ticket> &request) const
    {
        const auto priority = request.waiting_.priority_;
        const auto wait =
            rates_.timeFor(request.account_, queue_.costOf(request.account_, priority), queue_.costAhead(request.account_, request.weight_, priority));
        const auto response = responseTime_.mean();
        if (!wait && !response) {
            return std::nullopt;
        }
        const auto millisecondsOf = [](const auto &time) {
            return std::chrono::duration_cast<std::chrono::milliseconds>(time.value_or(std::chrono::nanoseconds(0)));
        };
        return FirstEventEstimate{ .queue_ = millisecondsOf(wait), .rest_ = millisecondsOf(response) };
    }

    Capacity capacity_;
    Queue<Ticket> queue_;
    AccountRates rates_;
    ResponseTime responseTime_;

    /// When a request last began or ceased to wait.
    std::optional<MonotonicTime> lastWaitAt_;
};

} // namespace cowsliphead

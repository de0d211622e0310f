#pragma once

#include <cstddef>
#include <optional>

#include "core/time.h"
#include "decide/admission/accountrates.h"
#include "decide/admission/admissionrequest.h"
#include "decide/admission/admissionverdict.h"
#include "decide/admission/concurrencylimit.h"
#include "decide/admission/fairqueue.h"

namespace cowsliphead
{

/// Decides which requests for one target are sent now, which wait and which are refused early. Capacity is never idle while one waits.
/// Queue varies: FairQueue, or another order for comparison.
template <typename Ticket, template <typename> typename Queue = FairQueue>
class AdmissionGate
{
public:
    /// Precondition: slots is at least 1. Thread safety: owner task only.
    explicit AdmissionGate(std::size_t slots)
        : limit_(slots)
    {
    }

    /// A request has come. Thread safety: owner task only.
    AdmissionVerdict arrive(const AdmissionRequest<Ticket> &request, MonotonicTime now)
    {
        if (inFlight_ < limit_.limit() && queue_.size() == 0) {
            queue_.push(request.account_, request.weight_, request.waiting_);
            queue_.pop();
            ++inFlight_;
            return AdmissionVerdict::Admitted;
        }
        if (request.maxWaiting_ > 0 && queue_.size(request.account_) >= request.maxWaiting_) {
            return AdmissionVerdict::TooManyWaiting;
        }
        const auto wait = rates_.timeFor(request.account_, queue_.costOf(request.account_), queue_.costAhead(request.account_, request.weight_));
        if (wait && *wait > PatienceShare * (request.waiting_.deadline_ - now)) {
            return AdmissionVerdict::DeadlineUnreachable;
        }
        queue_.push(request.account_, request.weight_, request.waiting_);
        return AdmissionVerdict::Queued;
    }

    /// The next waiting request, if there is capacity for it. Call until nothing comes, after each event. Thread safety: owner task only.
    std::optional<Waiting<Ticket>> next()
    {
        if (inFlight_ >= limit_.limit()) {
            return std::nullopt;
        }
        auto waiting = queue_.pop();
        if (waiting) {
            ++inFlight_;
        }
        return waiting;
    }

    /// An admitted request has ended with an answer. Thread safety: owner task only.
    void finished(const AccountId &account, TokenCost cost, MonotonicTime now)
    {
        --inFlight_;
        rates_.served(account, cost, now);
        limit_.accepted();
    }

    /// An admitted request has ended without an answer; isFull: for want of room at the endpoints. Thread safety: owner task only.
    void failed(bool isFull)
    {
        --inFlight_;
        if (isFull) {
            limit_.refused();
        }
    }

    /// A waiting request's caller has left. Returns false if it does not wait. Thread safety: owner task only.
    bool left(const AccountId &account, const Ticket &ticket)
    {
        return queue_.erase(account, ticket);
    }

    /// Calls back with each waiting request whose deadline has passed. Thread safety: owner task only.
    template <typename Expired>
    void expire(MonotonicTime now, const Expired &expired)
    {
        queue_.expire(now, expired);
    }

    /// The endpoints' slots have changed. Precondition: slots is at least 1. Thread safety: owner task only.
    void setSlots(std::size_t slots)
    {
        limit_.setHighest(slots);
    }

    /// Thread safety: owner task only.
    std::size_t waitingCount() const
    {
        return queue_.size();
    }

private:
    /// How much of the time until its deadline a request may be expected to wait. The estimate is not exact, and whoever waits to
    /// the end in vain fares worse than who is refused at once.
    static constexpr double PatienceShare = 0.8;

    ConcurrencyLimit limit_;
    Queue<Ticket> queue_;
    AccountRates rates_;
    std::size_t inFlight_ = 0;
};

} // namespace cowsliphead

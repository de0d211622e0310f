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

/// Decides which requests for one target are sent now, which are queued and which are rejected early. Capacity is never idle while a
/// request is queued. Queue: the queueing discipline, FairQueue or another one for comparison. Thread safety: owner task only.
template <typename Ticket, template <typename> typename Queue = FairQueue>
class AdmissionGate
{
public:
    /// Precondition: slots is at least 1.
    explicit AdmissionGate(std::size_t slots)
        : limit_(slots)
    {
    }

    /// Admits, queues or rejects a new request.
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
        if (wait && *wait > MaxWaitFraction * (request.waiting_.deadline_ - now)) {
            return AdmissionVerdict::DeadlineUnreachable;
        }
        queue_.push(request.account_, request.weight_, request.waiting_);
        return AdmissionVerdict::Queued;
    }

    /// Returns the next queued request, if there is capacity for it. To be called after each event until it returns nothing.
    std::optional<WaitingRequest<Ticket>> next()
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

    /// An admitted request has ended with a response.
    void finished(const AccountId &account, TokenCost cost, MonotonicTime now)
    {
        --inFlight_;
        rates_.served(account, cost, now);
        limit_.accepted();
    }

    /// An admitted request has ended without a response. isFull: because the endpoints had no capacity.
    void failed(bool isFull)
    {
        --inFlight_;
        if (isFull) {
            limit_.refused();
        }
    }

    /// Removes a queued request whose caller has disconnected. Returns false if it is not queued.
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

    /// The number of the endpoints' slots has changed. Precondition: slots is at least 1.
    void setSlots(std::size_t slots)
    {
        limit_.setMaximum(slots);
    }

    std::size_t waitingCount() const
    {
        return queue_.size();
    }

private:
    /// Maximum expected wait of a request, as a fraction of the time until its deadline. The estimate is not exact, and it is better
    /// to reject a request at once than to let it wait until its deadline in vain.
    static constexpr double MaxWaitFraction = 0.8;

    ConcurrencyLimit limit_;
    Queue<Ticket> queue_;
    AccountRates rates_;
    std::size_t inFlight_ = 0;
};

} // namespace cowsliphead

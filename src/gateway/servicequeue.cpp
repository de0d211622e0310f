#include "gateway/servicequeue.h"

#include <utility>
#include <vector>

#include "gateway/gatewaycontext.h"

namespace cowsliphead
{

ServiceQueue::ServiceQueue(GatewayContext &context, const ServiceName &service)
    : context_(context)
    , gate_(PlainCapacity(context, service))
    , timer_(context.loop_, [this] { release(); })
{
}

ServiceQueue::Ticket ServiceQueue::issueTicket()
{
    return ++lastTicket_;
}

AdmissionDecision ServiceQueue::arrive(Ticket ticket, QueuedRequest request, AdmissionFacts &facts)
{
    const auto now = context_.clock_.now();
    const WaitingRequest<Ticket> waiting{ .ticket_ = ticket, .deadline_ = request.deadline_, .priority_ = request.priority_ };
    const auto decision = gate_.arrive({ request.account_, 1, waiting }, facts, now);
    if (decision.kind_ == AdmissionKind::Wait) {
        request.since_ = now;
        waiting_.emplace(ticket, std::move(request));
        if (waiting_.size() == 1) {
            timer_.startOnce(ReleaseInterval);
        }
    }
    return decision;
}

void ServiceQueue::withdraw(Ticket ticket)
{
    if (const auto found = waiting_.find(ticket); found != waiting_.end()) {
        gate_.cancel(found->second.account_, ticket);
        waiting_.erase(found);
    }
}

void ServiceQueue::answered(const AccountId &account, std::optional<std::chrono::nanoseconds> responseTime)
{
    gate_.finished(account, 1, responseTime, context_.clock_.now());
}

void ServiceQueue::roomChanged()
{
    if (!waiting_.empty()) {
        timer_.startOnce(std::chrono::milliseconds(0));
    }
}

std::size_t ServiceQueue::size() const
{
    return waiting_.size();
}

void ServiceQueue::release()
{
    const auto now = context_.clock_.now();
    // Started before the requests are sent, since one that ends at once calls roomChanged().
    timer_.startOnce(ReleaseInterval);
    refuseExpired(now);
    while (const auto next = gate_.next(now)) {
        send(next->ticket_, now);
    }
    releaseUncertain(now);
    if (waiting_.empty()) {
        timer_.cancel();
    }
}

void ServiceQueue::refuseExpired(MonotonicTime now)
{
    std::vector<Ticket> expired;
    gate_.expire(now, [&expired](const auto &late) { expired.push_back(late.ticket_); });
    for (const auto ticket : expired) {
        if (auto request = waiting_.extract(ticket)) {
            request.mapped().events_.onTimedOut_();
        }
    }
}

/// Sends those that have waited for long although it is not certain that the endpoints are full.
void ServiceQueue::releaseUncertain(MonotonicTime now)
{
    while (!waiting_.empty() && now - waiting_.begin()->second.since_ >= MaxUncertainWait && !gate_.capacity().isCertain(now)) {
        const auto ticket = waiting_.begin()->first;
        gate_.cancel(waiting_.begin()->second.account_, ticket);
        send(ticket, now);
    }
}

void ServiceQueue::send(Ticket ticket, MonotonicTime now)
{
    if (auto request = waiting_.extract(ticket)) {
        context_.metrics_.queued_.record(now - request.mapped().since_);
        request.mapped().events_.onRoom_();
    }
}

} // namespace cowsliphead

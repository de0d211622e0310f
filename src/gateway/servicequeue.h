#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "core/servicename.h"
#include "decide/admission/admissiongate.h"
#include "gateway/plaincapacity.h"
#include "gateway/queuedrequest.h"
#include "task/timer.h"

namespace cowsliphead
{

struct GatewayContext;

/// The requests of this gateway for one plain service that wait while all endpoints are full. Thread safety: the context's task only.
class ServiceQueue
{
public:
    using Ticket = std::uint64_t;

    /// Precondition: the context outlives the queue.
    ServiceQueue(GatewayContext &context, const ServiceName &service);

    /// Returns a ticket that no other request of the queue has.
    Ticket issueTicket();

    /// Decides on a request, and queues it if it has to wait. Completes the facts by room and expected wait. Precondition: no request with the
    /// ticket waits; the owner of the callbacks calls withdraw() before it is destroyed.
    AdmissionDecision arrive(Ticket ticket, QueuedRequest request, AdmissionFacts &facts);

    /// The request no longer waits, if it did.
    void withdraw(Ticket ticket);

    /// A request of the account has got an answer. responseTime: since it was sent; absent for an answer that is streamed.
    void answered(const AccountId &account, std::optional<std::chrono::nanoseconds> responseTime);

    /// An endpoint may have room now: the next requests are sent after the current event.
    void roomChanged();

    std::size_t size() const;

private:
    /// Loads that change without a report, as pauses that end, are noticed within this time.
    static constexpr std::chrono::milliseconds ReleaseInterval{ 50 };

    /// A request waits no longer than this on the word of an old report: three times the shortest interval at which a relay is asked.
    static constexpr std::chrono::milliseconds MaxUncertainWait{ 300 };

    void release();
    void refuseExpired(MonotonicTime now);
    void releaseUncertain(MonotonicTime now);
    void send(Ticket ticket, MonotonicTime now);

    GatewayContext &context_;
    AdmissionGate<Ticket, PlainCapacity> gate_;
    std::map<Ticket, QueuedRequest> waiting_;
    Ticket lastTicket_ = 0;
    Timer timer_;
};

} // namespace cowsliphead

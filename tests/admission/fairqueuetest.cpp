#include <map>
#include <string>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "core/virtualclock.h"
#include "decide/admission/admissiongate.h"
#include "decide/admission/fairqueue.h"
#include "decide/admission/slotcapacity.h"

using namespace cowsliphead;

namespace
{

using Ticket = int;

const AccountId Press("press");
const AccountId Mill("mill");

WaitingRequest<Ticket> waitingFor(Ticket ticket, TokenCost cost)
{
    return { ticket, cost, VirtualClock().now() + std::chrono::hours(1) };
}

using Gate = AdmissionGate<Ticket, SlotCapacity>;

AdmissionKind arrive(Gate &gate, const AccountId &account, Ticket ticket, std::chrono::milliseconds timeLimit, MonotonicTime now)
{
    AdmissionFacts facts{ .callerTimeLeft_ = timeLimit, .routeTimeLeft_ = timeLimit };
    return gate.arrive({ account, 1, { ticket, 100, now + timeLimit } }, facts, now).kind_;
}

} // namespace

BOOST_AUTO_TEST_SUITE(accounts_that_wait_for_capacity)

BOOST_AUTO_TEST_SUITE(while_one_floods_the_queue)

RC_BOOST_PROP(get_their_weighted_share_of_the_tokens_within_one_request, ())
{
    constexpr TokenCost LargestCost = 500;
    const auto weights = *rc::gen::pair(rc::gen::inRange(1U, 10U), rc::gen::inRange(1U, 10U));
    FairQueue<Ticket> queue;
    for (int ticket = 0; ticket < 400; ++ticket) {
        queue.push(Press, weights.first, waitingFor(ticket, *rc::gen::inRange<TokenCost>(1, LargestCost)));
        queue.push(Mill, weights.second, waitingFor(1000 + ticket, *rc::gen::inRange<TokenCost>(1, LargestCost)));
    }
    double pressShare = 0;
    double millShare = 0;
    while (queue.size(Press) > 0 && queue.size(Mill) > 0) {
        const auto request = queue.pop();
        (request->ticket_ < 1000 ? pressShare : millShare) += static_cast<double>(request->cost_) / (request->ticket_ < 1000 ? weights.first : weights.second);
        RC_ASSERT(std::abs(pressShare - millShare) <= 2.0 * LargestCost);
    }
}

BOOST_AUTO_TEST_CASE(gain_no_credit_while_idle)
{
    FairQueue<Ticket> queue;
    for (int ticket = 0; ticket < 100; ++ticket) {
        queue.push(Press, 1, waitingFor(ticket, 10));
    }
    for (int taken = 0; taken < 50; ++taken) {
        queue.pop();
    }
    for (int ticket = 0; ticket < 10; ++ticket) {
        queue.push(Mill, 1, waitingFor(1000 + ticket, 10));
    }
    int millTaken = 0;
    for (int taken = 0; taken < 10; ++taken) {
        millTaken += queue.pop()->ticket_ >= 1000 ? 1 : 0;
    }
    BOOST_TEST(millTaken >= 4);
    BOOST_TEST(millTaken <= 6);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(under_any_sequence_of_arrivals_and_ends)

RC_BOOST_PROP(never_wait_while_capacity_is_idle_and_none_is_lost, (const std::vector<std::uint8_t> &events))
{
    constexpr std::size_t Slots = 3;
    VirtualClock clock;
    Gate gate{ SlotCapacity(Slots) };
    std::size_t inFlight = 0;
    std::size_t waiting = 0;
    Ticket next = 0;
    for (const auto event : events) {
        clock.advance(std::chrono::milliseconds(event));
        if (event % 3 != 0) {
            const auto decision = arrive(gate, AccountId(std::to_string(event % 5)), ++next, std::chrono::hours(2), clock.now());
            inFlight += decision == AdmissionKind::Send ? 1 : 0;
            waiting += decision == AdmissionKind::Wait ? 1 : 0;
        } else if (inFlight > 0) {
            gate.finished(Press, 100, std::nullopt, clock.now());
            --inFlight;
        }
        while (gate.next(clock.now())) {
            ++inFlight;
            --waiting;
        }
        RC_ASSERT(inFlight <= Slots);
        RC_ASSERT(waiting == gate.waitingCount());
        RC_ASSERT(waiting == 0 || inFlight == Slots);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_several_priorities)

RC_BOOST_PROP(are_taken_by_priority_then_by_share, (const std::vector<std::uint8_t> &arrivals))
{
    PriorityFairQueue<Ticket> queue;
    std::map<int, int> waiting;
    for (const auto arrival : arrivals) {
        auto request = waitingFor(arrival, 10);
        request.priority_ = arrival % 3;
        ++waiting[request.priority_];
        queue.push(arrival % 2 == 0 ? Press : Mill, 1, request);
    }
    RC_ASSERT(queue.size() == arrivals.size());
    while (const auto next = queue.pop()) {
        for (int urgent = 0; urgent < next->priority_; ++urgent) {
            RC_ASSERT(waiting[urgent] == 0);
        }
        --waiting[next->priority_];
    }
    RC_ASSERT(queue.size() == 0);
}

BOOST_AUTO_TEST_CASE(expect_to_wait_only_for_the_more_urgent_ones_and_their_own)
{
    PriorityFairQueue<Ticket> queue;
    for (int ticket = 0; ticket < 9; ++ticket) {
        auto request = waitingFor(ticket, 10);
        request.priority_ = ticket % 3;
        queue.push(Press, 1, request);
    }
    BOOST_TEST(queue.costAhead(Press, 1, 0) == 30.0);
    BOOST_TEST(queue.costAhead(Press, 1, 1) == 60.0);
    BOOST_TEST(queue.costOf(Press, 1) == 60.0);
    BOOST_TEST(queue.costAhead(Press, 1, 5) == 90.0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_cannot_be_served_in_time)

BOOST_AUTO_TEST_CASE(are_refused_at_once)
{
    VirtualClock clock;
    Gate gate{ SlotCapacity(1) };
    arrive(gate, Press, 1, std::chrono::hours(1), clock.now());
    arrive(gate, Press, 2, std::chrono::hours(1), clock.now());
    for (int served = 0; served < 10; ++served) {
        clock.advance(std::chrono::milliseconds(100));
        gate.finished(Press, 100, std::nullopt, clock.now());
        gate.next(clock.now());
        arrive(gate, Press, 3 + served, std::chrono::hours(1), clock.now());
    }
    for (int waiting = 0; waiting < 20; ++waiting) {
        arrive(gate, Press, 100 + waiting, std::chrono::hours(1), clock.now());
    }
    // 21 requests of 100 tokens each are already queued, and 1000 tokens are served per second.
    BOOST_TEST((arrive(gate, Press, 200, std::chrono::seconds(1), clock.now()) == AdmissionKind::Refuse));
    BOOST_TEST((arrive(gate, Press, 201, std::chrono::seconds(10), clock.now()) == AdmissionKind::Wait));
}

BOOST_AUTO_TEST_CASE(are_not_refused_because_few_came_before)
{
    // Guards against taking the demand of a quiet time, one request a second, for the capacity.
    VirtualClock clock;
    Gate gate{ SlotCapacity(1) };
    for (int served = 0; served < 20; ++served) {
        BOOST_TEST((arrive(gate, Press, served, std::chrono::seconds(1), clock.now()) == AdmissionKind::Send));
        clock.advance(std::chrono::seconds(1));
        gate.finished(Press, 100, std::nullopt, clock.now());
    }
    arrive(gate, Press, 100, std::chrono::seconds(1), clock.now());
    for (int waiting = 0; waiting < 5; ++waiting) {
        BOOST_TEST((arrive(gate, Press, 101 + waiting, std::chrono::seconds(1), clock.now()) == AdmissionKind::Wait));
    }
}

BOOST_AUTO_TEST_CASE(are_returned_once_their_deadline_has_passed)
{
    VirtualClock clock;
    Gate gate{ SlotCapacity(1) };
    arrive(gate, Press, 1, std::chrono::hours(1), clock.now());
    arrive(gate, Press, 2, std::chrono::milliseconds(50), clock.now());
    clock.advance(std::chrono::milliseconds(51));
    int expired = 0;
    gate.expire(clock.now(), [&](const WaitingRequest<Ticket> &late) { expired += late.ticket_; });
    BOOST_TEST(expired == 2);
    BOOST_TEST(gate.waitingCount() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_endpoints_refuse_requests)

BOOST_AUTO_TEST_CASE(have_fewer_in_flight_and_more_again_later)
{
    ConcurrencyLimit limit(100);
    limit.refused();
    BOOST_TEST(limit.limit() == 90);
    for (int answered = 0; answered < 2000; ++answered) {
        limit.accepted();
    }
    BOOST_TEST(limit.limit() == 100);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

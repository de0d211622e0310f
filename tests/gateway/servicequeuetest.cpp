#include <algorithm>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "gateway/endpointroom.h"
#include "gateway/gatewaycontext.h"
#include "gateway/servicequeue.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

const ServiceName Service("plain");

EndpointEntry endpoint(const std::string &id)
{
    EndpointEntry entry;
    entry.id_ = EndpointId(id);
    entry.service_ = Service;
    entry.slots_ = 2;
    return entry;
}

/// A gateway without connections that knows two plain endpoints with room for 8 requests each, and 4 other gateways.
struct QueueFixture {
    QueueFixture()
    {
        context_.gatewayCount_ = 5;
        context_.endpoints_.update({ endpoint("e1"), endpoint("e2") }, now(), context_.clock_.wallNow());
    }

    MonotonicTime now() const
    {
        return context_.clock_.now();
    }

    EndpointState &state(const std::string &id)
    {
        return *context_.endpoints_.find(EndpointId(id));
    }

    EndpointState &withRoom()
    {
        return endpointroom::hasRoom(state("e1"), context_.gatewayCount_, now()) ? state("e1") : state("e2");
    }

    /// The other gateways have so many requests in flight at the two endpoints.
    void report(std::uint32_t first, std::uint32_t second)
    {
        EndpointLoads loads{ { endpointKeyOf(EndpointId("e1")), first, 0 }, { endpointKeyOf(EndpointId("e2")), second, 0 } };
        std::sort(loads.begin(), loads.end());
        context_.endpoints_.setLoadOfOthers(loads, now());
        context_.roomChanged();
    }

    AdmissionKind arrive(std::chrono::milliseconds timeLimit = 800ms, int priority = 0)
    {
        AdmissionFacts facts{ .callerTimeLeft_ = timeLimit, .routeTimeLeft_ = timeLimit };
        ticket_ = queue().issueTicket();
        QueuedRequest request{ .account_ = AccountId("press"),
                               .priority_ = priority,
                               .deadline_ = now() + timeLimit,
                               .events_ = { .onRoom_ =
                                                [this, priority] {
                                                    sent_.push_back(priority);
                                                    ++withRoom().running_;
                                                },
                                            .onTimedOut_ = [this] { ++timedOut_; } } };
        return queue().arrive(ticket_, std::move(request), facts).kind_;
    }

    ServiceQueue &queue()
    {
        return context_.serviceQueueOf(Service);
    }

    void run(std::chrono::milliseconds time)
    {
        Timer end(loop_, [this] { loop_.stop(); });
        end.startOnce(time);
        loop_.run();
    }

    EventLoop loop_;
    GatewayContext context_{ .loop_ = loop_, .settings_ = {}, .usage_ = {}, .spans_ = {}, .crashReports_ = {} };
    ServiceQueue::Ticket ticket_ = 0;
    std::vector<int> sent_;
    int timedOut_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(under_any_sequence_of_arrivals_reports_and_ends)

RC_BOOST_PROP(no_request_waits_while_an_endpoint_has_room, ())
{
    QueueFixture fixture;
    const auto events = *rc::gen::container<std::vector<std::uint8_t>>(20, rc::gen::inRange<std::uint8_t>(0, 90));
    for (const auto event : events) {
        auto &first = fixture.state("e1");
        auto &second = fixture.state("e2");
        if (event % 3 == 0) {
            fixture.report(event / 3 % 10, event % 10);
        } else if (auto &endpoint = event % 2 == 0 ? first : second; event % 3 == 1 && endpoint.running_ > 0) {
            --endpoint.running_;
            fixture.context_.roomChanged();
        } else if (fixture.arrive() == AdmissionKind::Send) {
            ++fixture.withRoom().running_;
        }
        fixture.run(1ms);
        const auto now = fixture.now();
        RC_ASSERT(fixture.queue().size() == 0 || (!endpointroom::hasRoom(first, 5, now) && !endpointroom::hasRoom(second, 5, now)));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(requests_for_a_plain_service, QueueFixture)

BOOST_AUTO_TEST_SUITE(are_sent_at_once)

BOOST_AUTO_TEST_CASE(while_an_endpoint_has_room)
{
    report(8, 7);
    BOOST_TEST((arrive() == AdmissionKind::Send));
}

BOOST_AUTO_TEST_CASE(without_reports_and_without_requests_of_this_gateway)
{
    state("e1").running_ = 2;
    BOOST_TEST((arrive() == AdmissionKind::Send));
}

BOOST_AUTO_TEST_CASE(if_there_is_no_endpoint_to_wait_for)
{
    // They are then refused as unavailable, with the time of an endpoint's return.
    context_.endpoints_.update({}, now(), context_.clock_.wallNow());
    BOOST_TEST((arrive() == AdmissionKind::Send));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(wait_while_the_requests_of_all_gateways_fill_the_endpoints)

BOOST_AUTO_TEST_CASE(until_a_report_says_that_there_is_room)
{
    report(8, 8);
    BOOST_TEST((arrive() == AdmissionKind::Wait));
    run(20ms);
    BOOST_TEST(sent_.empty());
    report(8, 7);
    run(5ms);
    BOOST_TEST(sent_.size() == 1U);
    BOOST_TEST(context_.metrics_.queued_.count() == 1U);
}

BOOST_AUTO_TEST_CASE(until_a_request_of_this_gateway_ends)
{
    report(8, 6);
    state("e2").running_ = 2;
    BOOST_TEST((arrive() == AdmissionKind::Wait));
    state("e2").running_ = 1;
    queue().roomChanged();
    run(5ms);
    BOOST_TEST(sent_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(and_no_more_are_sent_than_there_is_room_for_the_most_urgent_first)
{
    // Guards against a gateway that sends all that wait on one report.
    report(8, 8);
    for (const int priority : { 2, 1, 0, 2 }) {
        BOOST_TEST((arrive(800ms, priority) == AdmissionKind::Wait));
    }
    report(8, 6);
    run(5ms);
    BOOST_TEST(sent_ == std::vector({ 0, 1 }), boost::test_tools::per_element());
    BOOST_TEST(queue().size() == 2U);
}

BOOST_AUTO_TEST_CASE(and_no_longer_than_the_reports_are_recent)
{
    // Guards against requests that wait on the last report of a relay that is gone.
    report(8, 8);
    BOOST_TEST((arrive(3000ms) == AdmissionKind::Wait));
    run(400ms);
    BOOST_TEST(sent_.empty());
    run(250ms);
    BOOST_TEST(sent_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(and_not_past_their_deadline)
{
    for (int repeat = 0; repeat < 2; ++repeat) {
        report(8, 8);
        BOOST_TEST((arrive(100ms) == AdmissionKind::Wait));
        run(170ms);
    }
    BOOST_TEST(timedOut_ == 2);
    BOOST_TEST(sent_.empty());
    BOOST_TEST(queue().size() == 0U);
}

BOOST_AUTO_TEST_CASE(and_free_their_place_when_their_caller_leaves)
{
    report(8, 8);
    arrive(800ms, 0);
    queue().withdraw(ticket_);
    arrive(800ms, 1);
    report(8, 7);
    run(5ms);
    BOOST_TEST(sent_ == std::vector({ 1 }), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(and_not_on_the_load_of_an_endpoint_that_is_full_by_assumption_only)
{
    // Without reports, each of the 5 gateways is taken to have placed as much as this one.
    state("e1").running_ = 2;
    state("e2").running_ = 2;
    BOOST_TEST((arrive(3000ms) == AdmissionKind::Wait));
    run(400ms);
    BOOST_TEST(sent_.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "decide/admission/admissiondecision.h"
#include "decide/admission/admissionfacts.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

/// A streamed request of the second deployment's long prompts, whose caller waits 6 s for the answer and 2.4 s for the first event.
AdmissionFacts longPrompt(std::chrono::milliseconds queue)
{
    return { .callerTimeLeft_ = 6000ms,
             .routeTimeLeft_ = 6000ms,
             .patienceLeft_ = 2400ms,
             .targetLatency_ = 600ms,
             .expected_ = FirstEventEstimate{ queue, 280ms, 20ms } };
}

bool isRefused(const AdmissionFacts &facts)
{
    return admissionDecision(facts).kind_ == AdmissionKind::Refuse;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_request_that_is_about_to_be_sent)

BOOST_AUTO_TEST_SUITE(is_refused_if_it_is_expected_to_begin)

BOOST_AUTO_TEST_CASE(after_nine_tenths_of_its_callers_patience)
{
    // Guards against prefilling for callers that leave meanwhile: 573 of them left after 2.4 s on the measured day.
    BOOST_TEST(!isRefused(longPrompt(1860ms)));
    BOOST_TEST(isRefused(longPrompt(1861ms)));
}

BOOST_AUTO_TEST_CASE(after_nine_tenths_of_the_least_of_its_limits)
{
    auto facts = longPrompt(1000ms);
    facts.routeTimeLeft_ = 1400ms;
    BOOST_TEST(isRefused(facts));
    facts.routeTimeLeft_ = 6000ms;
    facts.callerTimeLeft_ = 1400ms;
    BOOST_TEST(isRefused(facts));
    facts.callerTimeLeft_ = 6000ms;
    BOOST_TEST(!isRefused(facts));
}

BOOST_AUTO_TEST_CASE(too_late_though_there_is_no_room_yet)
{
    auto facts = longPrompt(3000ms);
    facts.hasRoom_ = false;
    BOOST_TEST(isRefused(facts));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(is_not_refused)

BOOST_AUTO_TEST_CASE(without_an_estimate)
{
    // Guards against refusals while no gateway reports its load.
    auto facts = longPrompt(0ms);
    facts.expected_.reset();
    facts.patienceLeft_ = 1ms;
    BOOST_TEST(static_cast<int>(admissionDecision(facts).kind_) == static_cast<int>(AdmissionKind::Send));
    facts.hasRoom_ = false;
    BOOST_TEST(static_cast<int>(admissionDecision(facts).kind_) == static_cast<int>(AdmissionKind::Wait));
}

RC_BOOST_PROP(if_an_endpoint_may_have_begun_it, (std::uint16_t queue, std::uint16_t limit, bool hasRoom))
{
    auto facts = longPrompt(std::chrono::milliseconds(queue));
    facts.callerTimeLeft_ = std::chrono::milliseconds(limit);
    facts.hasRoom_ = hasRoom;
    facts.mayBeRefused_ = false;
    RC_ASSERT(!isRefused(facts));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(and_refused_is_told_to_return)

BOOST_AUTO_TEST_CASE(when_it_is_expected_to_begin_on_time)
{
    auto facts = longPrompt(1900ms);
    BOOST_TEST(admissionDecision(facts).retryAfter_.count() == 1333); // two thirds of the longest delay that the caller accepts
    facts.callerTimeLeft_ = 60000ms;
    BOOST_TEST(admissionDecision(facts).retryAfter_.count() == 1600); // 1,900 + 300 - 600
}

BOOST_AUTO_TEST_CASE(when_the_queue_has_been_served_though_the_rest_exceeds_the_target)
{
    auto facts = longPrompt(1900ms);
    facts.callerTimeLeft_ = 60000ms;
    facts.expected_->reading_ = 2000ms;
    BOOST_TEST(admissionDecision(facts).retryAfter_.count() == 1900);
}

RC_BOOST_PROP(never_past_a_third_of_its_callers_time_and_not_at_once, (std::uint16_t queue, std::uint16_t reading, std::uint16_t callerTime))
{
    auto facts = longPrompt(std::chrono::milliseconds(queue));
    facts.expected_->reading_ = std::chrono::milliseconds(reading);
    facts.callerTimeLeft_ = std::chrono::milliseconds(callerTime);
    facts.jitter_ = *rc::gen::inRange(0, 1000) / 1000.0;
    const auto delay = retryDelay(facts);
    RC_ASSERT(delay <= facts.callerTimeLeft_ / 3);
    RC_ASSERT(delay >= std::min<std::chrono::milliseconds>(100ms, facts.callerTimeLeft_ / 3));
}

BOOST_AUTO_TEST_CASE(at_times_that_differ_by_up_to_a_half_also_at_the_limit)
{
    // Guards against callers that all return after exactly a third of their time.
    auto facts = longPrompt(5000ms);
    const auto earliest = retryDelay(facts);
    facts.jitter_ = 0.999;
    const auto latest = retryDelay(facts);
    BOOST_TEST(latest.count() > earliest.count() * 14 / 10);
    BOOST_TEST(latest.count() <= 2000);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

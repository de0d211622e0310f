#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "core/virtualclock.h"
#include "decide/endpointavoidance.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

constexpr auto Unreachable = EndpointFailureKind::Unreachable;
constexpr auto Closed = EndpointFailureKind::ClosedUnanswered;
constexpr auto Replaced = EndpointFailureKind::Replaced;

constexpr IncarnationKey First{ 1 };
constexpr IncarnationKey Second{ 2 };
const std::vector<IncarnationKey> Endpoints{ First, Second, IncarnationKey(3), IncarnationKey(4) };

struct Fixture {
    bool isAvoided(IncarnationKey endpoint = First) const
    {
        return avoidance_.avoidedOf(Endpoints, clock_.now()).contains(endpoint);
    }

    void othersSaw(const EndpointFailures &failures)
    {
        avoidance_.setFailuresOfOthers(failures, clock_.now());
    }

    VirtualClock clock_;
    EndpointAvoidance avoidance_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(an_endpoint_that_fails, Fixture)

BOOST_AUTO_TEST_CASE(is_avoided_once_a_second_gateway_has_seen_it)
{
    avoidance_.sawFailure(First, Unreachable, clock_.now());
    avoidance_.sawFailure(First, Closed, clock_.now());
    BOOST_TEST(!isAvoided());
    othersSaw({ { First, Closed, 1, 100ms } });
    BOOST_TEST(isAvoided());
    BOOST_TEST(!isAvoided(Second));
}

BOOST_AUTO_TEST_CASE(is_avoided_by_a_gateway_that_has_not_tried_it)
{
    othersSaw({ { First, Unreachable, 2, 500ms } });
    BOOST_TEST(isAvoided());
}

BOOST_AUTO_TEST_CASE(is_used_if_a_single_other_gateway_cannot_reach_it)
{
    // Guards against a gateway that is cut off and takes sound endpoints from all others.
    othersSaw({ { First, Unreachable, 1, 0ms }, { First, Closed, 1, 0ms } });
    BOOST_TEST(!isAvoided());
}

BOOST_AUTO_TEST_CASE(is_used_again_two_seconds_after_it_was_last_seen)
{
    othersSaw({ { First, Unreachable, 2, 500ms } });
    clock_.advance(1500ms);
    BOOST_TEST(isAvoided());
    clock_.advance(1ms);
    BOOST_TEST(!isAvoided());
}

BOOST_AUTO_TEST_CASE(is_used_again_once_it_answers_although_the_others_still_tell_of_it)
{
    othersSaw({ { First, Unreachable, 2, 100ms } });
    avoidance_.answered(First, clock_.now());
    BOOST_TEST(!isAvoided());
    clock_.advance(200ms);
    othersSaw({ { First, Unreachable, 2, 300ms } });
    BOOST_TEST(!isAvoided());
    othersSaw({ { First, Unreachable, 3, 100ms } });
    BOOST_TEST(isAvoided());
}

// Regression test: an answer that was on its way as the endpoint failed ended its avoidance.
BOOST_AUTO_TEST_CASE(stays_avoided_if_it_answers_a_request_from_before_the_failure)
{
    const auto askedAt = clock_.now();
    clock_.advance(100ms);
    avoidance_.sawFailure(First, Closed, clock_.now());
    othersSaw({ { First, Closed, 1, 0ms } });
    avoidance_.answered(First, askedAt);
    BOOST_TEST(isAvoided());
    avoidance_.answered(First, clock_.now());
    BOOST_TEST(!isAvoided());
}

BOOST_AUTO_TEST_CASE(stays_avoided_if_another_start_of_it_answers)
{
    avoidance_.sawFailure(First, Closed, clock_.now());
    othersSaw({ { First, Closed, 1, 0ms } });
    avoidance_.answered(Second, clock_.now());
    BOOST_TEST(isAvoided());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(an_endpoint_in_whose_place_another_answers, Fixture)

BOOST_AUTO_TEST_CASE(is_avoided_as_soon_as_one_gateway_has_seen_it)
{
    avoidance_.sawFailure(First, Replaced, clock_.now());
    othersSaw({ { Second, Replaced, 1, 0ms } });
    BOOST_TEST(isAvoided(First));
    BOOST_TEST(isAvoided(Second));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(what_a_gateway_tells_of_failures, Fixture)

BOOST_AUTO_TEST_CASE(is_what_it_has_seen_itself_and_lately)
{
    avoidance_.sawFailure(First, Unreachable, clock_.now());
    othersSaw({ { Second, Unreachable, 2, 0ms } });
    clock_.advance(3s);
    const EndpointFailures expected{ { First, Unreachable, 1, 3s } };
    BOOST_TEST((avoidance_.ownFailures(clock_.now()) == expected));
    clock_.advance(1ms);
    BOOST_TEST(avoidance_.ownFailures(clock_.now()).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(reports_of_failures_of_many_endpoints)

RC_BOOST_PROP(leave_half_of_them_and_those_that_failed_first, (const std::vector<std::uint16_t> &ages))
{
    Fixture fixture;
    std::vector<IncarnationKey> endpoints;
    EndpointFailures failures;
    for (const auto age : ages) {
        endpoints.push_back(IncarnationKey(endpoints.size()));
        failures.push_back({ endpoints.back(), Unreachable, 2, std::chrono::milliseconds(age % 1900) });
    }
    fixture.othersSaw(failures);
    const auto avoided = fixture.avoidance_.avoidedOf(endpoints, fixture.clock_.now());
    RC_ASSERT(avoided.size() == endpoints.size() / 2);
    auto newestUsed = 1900ms;
    auto oldestAvoided = 0ms;
    for (const auto &failure : failures) {
        if (avoided.contains(failure.endpoint_)) {
            oldestAvoided = std::max(oldestAvoided, failure.age_);
        } else {
            newestUsed = std::min(newestUsed, failure.age_);
        }
    }
    RC_ASSERT(oldestAvoided <= newestUsed);
}

BOOST_AUTO_TEST_SUITE_END()

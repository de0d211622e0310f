#include <boost/test/unit_test.hpp>

#include "brokenanswerchecks.h"
#include "gatewayfixture.h"

using namespace cowsliphead;
using namespace brokenanswerchecks;

// Guards against an endpoint in trouble whose answer has a status line of another version, a status of other than three digits, or a control
// character in its head: callers got it as an answer, with the control characters of its reason.
BOOST_AUTO_TEST_SUITE(an_answer_with_an_invalid_line_in_its_head)

BOOST_AUTO_TEST_CASE(does_not_reach_the_caller)
{
    checkDoesNotReachTheCaller(brokenanswers::withInvalidHeadLine(Fields, "broken"), { "/once/x", "/safe/x", "/stream/x" });
}

BOOST_AUTO_TEST_CASE(ends_its_attempt_before_the_rest_of_its_head)
{
    for (const auto *begin : { "HTTP/2", "HTTP/1.1 200x", "HTTP/1.1 200 \x01" }) {
        GatewayFixture fixture;
        fixture.addEndpoint({ { begin } });
        const auto received = fixture.sendRequest("/once/x");
        BOOST_TEST(received.status_ == 502);
        BOOST_TEST((received.duration_ < BeforeTimeout));
    }
}

BOOST_AUTO_TEST_CASE(is_followed_by_another_endpoint_only_if_the_request_may_be_repeated)
{
    checkIsRepeatedOnlyIfAllowed(brokenanswers::withInvalidHeadLine(Fields, "broken"));
}

BOOST_AUTO_TEST_CASE(after_an_interim_answer_does_not_reach_the_caller_either)
{
    auto answers = brokenanswers::withInvalidHeadLine(Fields, "broken");
    for (auto &answer : answers) {
        answer.bytes_.insert(0, "HTTP/1.1 100 Continue\r\n\r\n");
    }
    checkDoesNotReachTheCaller(answers, { "/once/x" });
}

BOOST_AUTO_TEST_SUITE(to_a_request_that_continues_a_stream)

BOOST_AUTO_TEST_CASE(breaks_the_stream_off)
{
    checkBreaksTheStreamOff(brokenanswers::withInvalidHeadLine(Fields, "id: 2\ndata: b\n\n"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(from_an_engine_that_reads_a_prompt)

BOOST_AUTO_TEST_CASE(is_followed_by_a_run_without_its_cache)
{
    checkIsFollowedByARunWithoutCache(brokenanswers::withInvalidHeadLine(Fields, R"({"handle":"h"})"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

#include <boost/test/unit_test.hpp>

#include "brokenanswerchecks.h"
#include "gatewayfixture.h"

using namespace cowsliphead;
using namespace brokenanswerchecks;

// Guards against an endpoint in trouble in whose answer a field name holds a byte that no name may hold: callers got the answer with that line,
// or with another body than the endpoint's, since the parser did not know the name of a field that frames the body.
BOOST_AUTO_TEST_SUITE(an_answer_with_an_invalid_field_name)

BOOST_AUTO_TEST_CASE(does_not_reach_the_caller)
{
    checkDoesNotReachTheCaller(brokenanswers::withInvalidFieldName(Fields, "broken"), { "/once/x", "/safe/x", "/stream/x" });
}

BOOST_AUTO_TEST_CASE(does_not_reach_the_caller_if_the_field_frames_the_body)
{
    const std::string head = "HTTP/1.1 200 OK\r\n" + Fields;
    for (const auto *rest : { "Content-Length : 4\r\n\r\nbodyrest", "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" }) {
        BOOST_TEST_CONTEXT(rest)
        {
            GatewayFixture fixture;
            fixture.addEndpoint({ { head + rest, true } });
            BOOST_TEST(fixture.sendRequest("/once/x").status_ == 502);
        }
    }
}

BOOST_AUTO_TEST_CASE(ends_its_attempt_before_the_rest_of_its_head)
{
    GatewayFixture fixture;
    fixture.addEndpoint({ { "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n" } });
    const auto received = fixture.sendRequest("/once/x");
    BOOST_TEST(received.status_ == 502);
    BOOST_TEST((received.duration_ < BeforeTimeout));
}

BOOST_AUTO_TEST_CASE(is_followed_by_another_endpoint_only_if_the_request_may_be_repeated)
{
    checkIsRepeatedOnlyIfAllowed(brokenanswers::withInvalidFieldName(Fields, "broken"));
}

BOOST_AUTO_TEST_SUITE(to_a_request_that_continues_a_stream)

BOOST_AUTO_TEST_CASE(breaks_the_stream_off)
{
    checkBreaksTheStreamOff(brokenanswers::withInvalidFieldName(Fields, "id: 2\ndata: b\n\n"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(from_an_engine_that_reads_a_prompt)

BOOST_AUTO_TEST_CASE(is_followed_by_a_run_without_its_cache)
{
    checkIsFollowedByARunWithoutCache(brokenanswers::withInvalidFieldName(Fields, R"({"handle":"h"})"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

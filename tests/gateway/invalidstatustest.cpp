#include <boost/test/unit_test.hpp>

#include "brokenanswerchecks.h"

using namespace cowsliphead;
using namespace brokenanswerchecks;

// Guards against an endpoint in trouble whose answer has a status outside 100 to 599: callers got it as an answer, or waited for the time-out of
// their request, since a status below 200 was taken as that of an interim response.
BOOST_AUTO_TEST_SUITE(an_answer_with_an_invalid_status)

BOOST_AUTO_TEST_CASE(does_not_reach_the_caller)
{
    checkDoesNotReachTheCaller(brokenanswers::withInvalidStatus(Fields, "broken"), { "/once/x", "/safe/x", "/stream/x" });
}

BOOST_AUTO_TEST_CASE(is_followed_by_another_endpoint_only_if_the_request_may_be_repeated)
{
    checkIsRepeatedOnlyIfAllowed(brokenanswers::withInvalidStatus(Fields, "broken"));
}

BOOST_AUTO_TEST_SUITE(to_a_request_that_continues_a_stream)

BOOST_AUTO_TEST_CASE(breaks_the_stream_off)
{
    checkBreaksTheStreamOff(brokenanswers::withInvalidStatus(Fields, "id: 2\ndata: b\n\n"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(from_an_engine_that_reads_a_prompt)

BOOST_AUTO_TEST_CASE(is_followed_by_a_run_without_its_cache)
{
    checkIsFollowedByARunWithoutCache(brokenanswers::withInvalidStatus(Fields, R"({"handle":"h"})"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

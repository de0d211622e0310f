#include <boost/test/unit_test.hpp>

#include "brokenanswerchecks.h"
#include "gatewayfixture.h"

using namespace cowsliphead;
using namespace brokenanswerchecks;
using namespace std::chrono_literals;

namespace
{

const std::string Undelimited = "HTTP/1.1 200 OK\r\n" + Fields + "\r\n";
const std::string Chunked = "HTTP/1.1 200 OK\r\n" + Fields + "Transfer-Encoding: chunked\r\n\r\n";

/// More than the kernel buffers for a server that does not read.
const std::string Upload(std::size_t{ 3 } << 20U, 'u');

/// A gateway whose callers send a long body.
struct Fixture : GatewayFixture {
    Answer upload(const std::string &path, const std::string &body = Upload)
    {
        return sendRequest(path, { { "X-Api-Key", "key-1" } }, "POST", body);
    }
};

} // namespace

// Guards against an endpoint that answers a long upload at once, sends part of its answer and ends the connection while the upload is still being
// written: callers got that part as a whole answer.
BOOST_AUTO_TEST_SUITE(an_answer_cut_off_before_the_upload_is_written)

BOOST_AUTO_TEST_CASE(does_not_reach_the_caller)
{
    for (const auto &bytes : { Undelimited + "part", Undelimited, Chunked + "4\r\npart\r\n" }) {
        checkDoesNotReachTheCaller(brokenanswers::cutOff(bytes), { "/once/x", "/safe/x" }, Upload);
    }
}

BOOST_AUTO_TEST_CASE(is_followed_by_another_endpoint_only_if_the_request_may_be_repeated)
{
    checkIsRepeatedOnlyIfAllowed(brokenanswers::cutOff(Undelimited + "part"), Upload);
}

// The gateway has nothing left to write, but the kernel still holds a part of the upload.
BOOST_FIXTURE_TEST_CASE(does_not_reach_the_caller_while_the_kernel_sends_the_upload, Fixture)
{
    addEndpoint({ { .bytes_ = Undelimited, .laterBytes_ = "part", .pause_ = 100ms, .stopsReading_ = true, .shutsDownWriting_ = true } });
    BOOST_TEST(upload("/once/x", std::string(std::size_t{ 160 } << 10U, 'u')).status_ == 502);
}

// The kernel reports the reset, which follows an orderly end, to a write only.
BOOST_FIXTURE_TEST_CASE(does_not_reach_the_caller_if_the_reset_follows_an_orderly_end, Fixture)
{
    addEndpoint({ { .bytes_ = Undelimited + "part", .closesConnection_ = true, .stopsReading_ = true, .shutsDownWriting_ = true } });
    BOOST_TEST(upload("/once/x", std::string(std::size_t{ 32 } << 10U, 'u')).status_ == 502);
}

BOOST_AUTO_TEST_SUITE(that_is_a_stream)

BOOST_AUTO_TEST_CASE(breaks_off_after_the_events_that_the_caller_has)
{
    for (const auto &bytes : { Undelimited + "id: 1\ndata: a\n\n", Chunked + "f\r\nid: 1\ndata: a\n\n\r\n" }) {
        for (const auto &answer : brokenanswers::cutOff(bytes)) {
            BOOST_TEST_CONTEXT(brokenanswers::describe(answer))
            {
                Fixture fixture;
                fixture.addEndpoint({ answer });
                const auto received = fixture.upload("/stream/x");
                // The caller's connection is aborted, which may overtake the events.
                BOOST_TEST((received.body_.empty() || received.body_ == "id: 1\ndata: a\n\n"));
                BOOST_TEST(!received.isComplete_);
                BOOST_TEST((received.duration_ < BeforeTimeout));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(is_resumed_by_another_endpoint)
{
    for (const auto &answer : brokenanswers::cutOff(Undelimited + "id: 1\ndata: a\n\n")) {
        BOOST_TEST_CONTEXT(brokenanswers::describe(answer))
        {
            Fixture fixture;
            fixture.addEndpoint({ answer });
            fixture.addEndpoint({ { .bytes_ = Undelimited + "id: 2\ndata: b\n\n", .closesConnection_ = true, .awaitedBytes_ = Upload.size() } });
            const auto received = fixture.upload("/stream/x");
            BOOST_TEST(received.body_ == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
            BOOST_TEST(received.isComplete_);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(an_answer_to_an_upload, Fixture)

BOOST_AUTO_TEST_CASE(is_whole_before_the_upload_is_written_if_its_length_is_known)
{
    addEndpoint({ { .bytes_ = brokenanswers::wholeAnswer("200", Fields, "body"), .stopsReading_ = true } });
    const auto received = upload("/once/x");
    BOOST_TEST(received.status_ == 200);
    BOOST_TEST(received.body_ == "body");
}

BOOST_AUTO_TEST_CASE(is_whole_once_the_upload_is_written_if_it_ends_with_the_connection)
{
    addEndpoint({ { .bytes_ = Undelimited + "body", .closesConnection_ = true, .awaitedBytes_ = Upload.size() } });
    const auto received = upload("/once/x");
    BOOST_TEST(received.status_ == 200);
    BOOST_TEST(received.body_ == "body");
}

BOOST_AUTO_TEST_SUITE_END()

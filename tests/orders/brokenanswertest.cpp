#include <boost/test/unit_test.hpp>

#include <csignal>

#include "answers/brokenheads.h"
#include "core/errorcode.h"
#include "decide/order.h"
#include "duty/heldorderclient.h"
#include "gateway/rawendpoint.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

constexpr auto CallTimeout = 30s;
constexpr auto BeforeTimeout = 10s;

/// More than the kernel buffers for a server that does not read.
constexpr std::size_t LongUpload = std::size_t{ 16 } << 20U;

/// An order fails with this answer as it is read, since the engine may or may not have carried it out.
void checkOrderFails(const RawEndpoint::Script &answer, std::size_t uploadSize = 1)
{
    // As in the program: a write to a closed connection must fail instead of terminating the process.
    std::signal(SIGPIPE, SIG_IGN);
    EventLoop loop;
    RawEndpoint server(loop, { answer });
    HeldOrderClient client(loop, "127.0.0.1", server.port(), CallTimeout);
    std::optional<Result<void>> result;
    const auto startedAt = std::chrono::steady_clock::now();
    client.send(
        { "engine1", OrderAction::LoadModel, std::string(uploadSize, 'm'), 1, 1 },
        [] { return true; },
        [&](const Result<void> &reply) {
            result = reply;
            loop.stop();
        });
    loop.run();
    BOOST_REQUIRE(result.has_value());
    BOOST_REQUIRE(!result->has_value());
    BOOST_TEST(result->error() == ErrorCode::EndpointLost);
    BOOST_TEST((std::chrono::steady_clock::now() - startedAt < BeforeTimeout));
}

} // namespace

// Guards against an engine in trouble whose broken answer is taken as the confirmation of an order, or as its refusal.
BOOST_AUTO_TEST_SUITE(a_broken_answer_to_an_order)

BOOST_AUTO_TEST_SUITE(with_an_invalid_status)

BOOST_AUTO_TEST_CASE(leaves_it_open_whether_the_order_was_carried_out)
{
    for (const auto &status : brokenheads::Statuses) {
        BOOST_TEST_CONTEXT(status)
        {
            checkOrderFails({ brokenheads::withStatus(status) + "broken" });
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_an_invalid_field_name)

BOOST_AUTO_TEST_CASE(leaves_it_open_whether_the_order_was_carried_out)
{
    for (const auto &name : brokenheads::FieldNames) {
        BOOST_TEST_CONTEXT(name)
        {
            checkOrderFails({ brokenheads::withFieldName(name) + "broken" });
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(cut_off_before_the_upload_is_written)

BOOST_AUTO_TEST_CASE(leaves_it_open_whether_the_order_was_carried_out)
{
    const std::string undelimited = "HTTP/1.1 200 OK\r\n\r\npart";
    checkOrderFails({ .bytes_ = undelimited, .resetsConnection_ = true, .stopsReading_ = true }, LongUpload);
    checkOrderFails({ .bytes_ = undelimited, .closesConnection_ = true, .stopsReading_ = true }, LongUpload);
    checkOrderFails({ .bytes_ = undelimited, .stopsReading_ = true, .shutsDownWriting_ = true }, LongUpload);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

#include <boost/test/unit_test.hpp>

#include "answers/brokencall.h"
#include "decide/order.h"
#include "duty/heldorderclient.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

constexpr auto CallTimeout = 30s;
constexpr auto BeforeTimeout = 10s;

/// An order that names a model version of this length. The engine may or may not have carried it out.
BrokenCall<void> order(std::size_t size)
{
    return { ErrorCode::EndpointLost, BeforeTimeout, [size](EventLoop &loop, std::uint16_t port, auto reply) {
                auto client = std::make_shared<HeldOrderClient>(loop, "127.0.0.1", port, CallTimeout);
                client->send(
                    { "engine1", OrderAction::LoadModel, std::string(size, 'v'), 1, 1 }, [] { return true; }, std::move(reply));
                return client;
            } };
}

} // namespace

// Guards against an engine in trouble whose broken answer is taken as the confirmation of an order, or as its refusal.
BOOST_AUTO_TEST_SUITE(a_broken_answer_to_an_order)

BOOST_AUTO_TEST_SUITE(leaves_it_open_whether_the_order_was_carried_out)

BOOST_AUTO_TEST_CASE(if_its_status_is_invalid)
{
    order(1).checkFails(brokenanswers::withInvalidStatus({}, "broken"));
}

BOOST_AUTO_TEST_CASE(if_a_field_name_is_invalid)
{
    order(1).checkFails(brokenanswers::withInvalidFieldName({}, "broken"));
}

BOOST_AUTO_TEST_CASE(if_a_line_of_its_head_is_invalid)
{
    order(1).checkFails(brokenanswers::withInvalidHeadLine({}, "broken"));
}

BOOST_AUTO_TEST_CASE(if_it_is_cut_off_before_the_upload_is_written)
{
    order(brokenanswers::LongUpload).checkFails(brokenanswers::cutOff("HTTP/1.1 200 OK\r\n\r\npart"));
}

// Regression test: an order went by the status alone, not by how the connection ended.
BOOST_AUTO_TEST_CASE(if_it_has_no_length_and_is_cut_off_by_a_reset)
{
    order(1).checkFails(brokenanswers::Answers{ { .bytes_ = "HTTP/1.1 200 OK\r\n\r\npart", .resetsConnection_ = true } });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(confirms_the_order)

BOOST_AUTO_TEST_CASE(if_only_its_body_has_no_length_and_ends_in_order)
{
    EventLoop loop;
    RawEndpoint engine(loop, { { .bytes_ = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole", .closesConnection_ = true } });
    HeldOrderClient client(loop, "127.0.0.1", engine.port(), CallTimeout);
    std::optional<Result<void>> result;
    client.send(
        { "engine1", OrderAction::LoadModel, "v", 1, 1 },
        [] { return true; },
        [&](Result<void> reply) {
            result = reply;
            loop.stop();
        });
    loop.run();
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(result->has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

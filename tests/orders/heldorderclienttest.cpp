#include <boost/test/unit_test.hpp>

#include "core/errorcode.h"
#include "duty/heldorderclient.h"
#include "http/httprequest.h"
#include "http/httpresponder.h"
#include "http/httpserver.h"
#include "standin/engineorders.h"
#include "task/eventloop.h"
#include "task/timer.h"

using namespace cowsliphead;

namespace
{

constexpr std::chrono::seconds Patience{ 10 };
constexpr std::chrono::milliseconds Timeout{ 2000 };

/// An engine and a planner's client in one loop.
struct Fixture {
    Fixture()
        : server_(loop_, [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) { orders_.handle(request, *responder); })
        , client_(loop_, "127.0.0.1", *server_.listen("127.0.0.1", 0), Timeout)
        , claimTimeout_(loop_, [this] { loop_.stop(); })
    {
        claimTimeout_.startOnce(Patience);
    }

    Result<void> send(FencingNumber fencing, const std::function<bool()> &mayAct)
    {
        Result<void> result = failure(ErrorCode::EndpointTimedOut);
        client_.send({ "engine1", OrderAction::LoadModel, "v2", fencing, 1 }, mayAct, [this, &result](const Result<void> &answer) {
            result = answer;
            loop_.stop();
        });
        loop_.run();
        return result;
    }

    EventLoop loop_;
    EngineOrders orders_{ true };
    HttpServer server_;
    HeldOrderClient client_;
    Timer claimTimeout_;
};

bool yes()
{
    return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(an_order_on_the_wire)

BOOST_FIXTURE_TEST_SUITE(whose_sender_still_has_its_authority, Fixture)

BOOST_AUTO_TEST_CASE(is_carried_out_after_the_check)
{
    std::size_t carriedOutBefore = 1;
    const auto check = [&] {
        carriedOutBefore = orders_.executedOrders().size();
        return true;
    };
    BOOST_TEST(send(1, check).has_value());
    BOOST_TEST(carriedOutBefore == 0);
    BOOST_TEST(orders_.executedOrders().size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(whose_sender_loses_its_authority_on_the_way, Fixture)

BOOST_AUTO_TEST_CASE(has_no_effect)
{
    BOOST_TEST(send(1, [] { return false; }).error() == ErrorCode::OrderWithheld);
    // What arrived of it would be handled before a later order.
    BOOST_TEST(send(2, &yes).has_value());
    BOOST_TEST(orders_.executedOrders().size() == 1);
    BOOST_TEST(orders_.executedOrders().front().fencing_ == 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(with_an_old_fencing_number, Fixture)

BOOST_AUTO_TEST_CASE(is_refused_by_an_engine_that_checks)
{
    BOOST_TEST(send(2, &yes).has_value());
    BOOST_TEST(send(1, &yes).error() == ErrorCode::EndpointRefused);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

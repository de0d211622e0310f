#include <boost/test/unit_test.hpp>

#include "gateway/parsegatewaysettings.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

std::string settingsWith(const std::string &more)
{
    return R"({ "instance": "front-1", "failureDomain": "a", "callers": "127.0.0.1:0", "readiness": "127.0.0.1:8406",)"
           R"( "store": "10.0.0.1:8408", "platform": "10.0.0.2:8408")"
        + more + " }";
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_settings_of_a_gateway)

BOOST_AUTO_TEST_SUITE(that_are_valid)

BOOST_AUTO_TEST_CASE(set_every_bound)
{
    const auto settings = parseGatewaySettings(settingsWith(R"(, "keyWithdrawalMs": 4000, "endpointLeaveMs": 3000, "retryPercent": 10)"));
    BOOST_REQUIRE(settings);
    BOOST_TEST(settings->gateway_.bounds_.keyWithdrawal_.count() == 4000);
    BOOST_TEST(settings->relay_.endpointLeaveBound_.count() == 3000);
    BOOST_TEST(settings->gateway_.bounds_.retryRatio_ == 0.1);
    BOOST_TEST(settings->gateway_.bounds_.stopGrace_.count() == 8000);
}

BOOST_AUTO_TEST_CASE(limit_what_connections_buffer_to_a_share_of_the_memory)
{
    constexpr std::size_t Megabyte = std::size_t(1) << 20U;
    BOOST_TEST(parseGatewaySettings(settingsWith(R"(, "memoryMb": 64)"))->gateway_.bufferLimit_ == 16 * Megabyte);
    BOOST_TEST(parseGatewaySettings(settingsWith(R"(, "memoryMb": 160)"))->gateway_.bufferLimit_ == 32 * Megabyte);
    BOOST_TEST(parseGatewaySettings(settingsWith(R"(, "memoryMb": 512)"))->gateway_.bufferLimit_ == 32 * Megabyte);
    BOOST_TEST(parseGatewaySettings(settingsWith(""))->gateway_.bufferLimit_ <= 32 * Megabyte);
}

BOOST_AUTO_TEST_CASE(may_contain_unknown_fields)
{
    BOOST_TEST(parseGatewaySettings(settingsWith(R"(, "later": [1, 2])")).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_are_invalid)

BOOST_AUTO_TEST_CASE(name_the_field_and_what_was_expected)
{
    const auto broken = parseGatewaySettings(settingsWith(R"(, "metricsPort": "soon")"));
    BOOST_REQUIRE(!broken);
    BOOST_TEST(broken.error().describe().find("/metricsPort") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(name_a_bound_without_a_meaning_and_leave_its_usual_value)
{
    const auto settings = parseGatewaySettings(settingsWith(R"(, "keyWithdrawalMs": "soon")"));
    BOOST_REQUIRE(settings);
    BOOST_TEST(settings->gateway_.bounds_.keyWithdrawal_.count() == 5000);
    BOOST_REQUIRE(settings->rejected_.size() == 1U);
    BOOST_TEST(settings->rejected_[0].describe().find("/keyWithdrawalMs") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(name_a_malformed_address_for_other_gateways)
{
    const auto broken = parseGatewaySettings(settingsWith(R"(, "peer": "10.0.0.1")"));
    BOOST_REQUIRE(!broken);
    BOOST_TEST(broken.error().describe().find("/peer") != std::string::npos);
    BOOST_TEST(!parseGatewaySettings(settingsWith(""))->relay_.address_.has_value());
}

BOOST_AUTO_TEST_CASE(are_rejected_without_a_store_or_with_its_port_missing)
{
    BOOST_TEST(!parseGatewaySettings(R"({ "instance": "front-1" })").has_value());
    BOOST_TEST(!parseGatewaySettings(settingsWith(R"(, "store": "10.0.0.1:0")")).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

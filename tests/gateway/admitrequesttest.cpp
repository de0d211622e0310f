#include <boost/test/unit_test.hpp>

#include "core/errorcode.h"
#include "fleet/configuration.h"
#include "gateway/admitrequest.h"
#include "gateway/requestmetadata.h"

using namespace cowsliphead;

namespace
{

Configuration configuration()
{
    Configuration result;
    result.hasAccounts_ = true;
    result.accounts_.emplace("key-1", Account{ AccountId("press"), std::nullopt });
    for (const auto *prefix : { "/a/", "/a/b/", "/open/" }) {
        Route route;
        route.name_ = prefix;
        route.host_ = "h";
        route.prefix_ = prefix;
        route.isAnonymous_ = std::string(prefix) == "/open/";
        result.routes_.push_back(route);
    }
    return result;
}

RequestMetadata callerWith(const std::string &key)
{
    RequestMetadata metadata;
    metadata.host_ = "h";
    metadata.key_ = key;
    return metadata;
}

} // namespace

BOOST_AUTO_TEST_SUITE(admission_by_the_configuration)

BOOST_AUTO_TEST_CASE(takes_the_route_of_the_longest_prefix)
{
    const auto current = configuration();
    const auto admitted = admitRequest(current, callerWith("key-1"), "/a/b/c?x=/open/", true);
    BOOST_REQUIRE(admitted.has_value());
    BOOST_TEST(admitted->route_->name_ == "/a/b/");
    BOOST_TEST(admitted->account_->id_.value() == "press");
}

BOOST_AUTO_TEST_SUITE(denies)

BOOST_AUTO_TEST_CASE(an_unknown_path_a_missing_and_an_unknown_key)
{
    const auto current = configuration();
    BOOST_TEST(admitRequest(current, callerWith("key-1"), "/b/", true).error() == ErrorCode::RouteUnknown);
    BOOST_TEST(admitRequest(current, callerWith(""), "/a/", true).error() == ErrorCode::KeyMissing);
    BOOST_TEST(admitRequest(current, callerWith("key-2"), "/a/", true).error() == ErrorCode::KeyUnknown);
}

BOOST_AUTO_TEST_CASE(nothing_permanently_while_the_configuration_may_be_old)
{
    const auto current = configuration();
    BOOST_TEST(admitRequest(current, callerWith("key-2"), "/a/", false).error() == ErrorCode::RecordsTooOld);
    BOOST_TEST(admitRequest(current, callerWith("key-1"), "/b/", false).error() == ErrorCode::RecordsTooOld);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(admits_anyone_on_an_anonymous_route)
{
    const auto current = configuration();
    BOOST_TEST(admitRequest(current, callerWith(""), "/open/x", true).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

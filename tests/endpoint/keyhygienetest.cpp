#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <event2/http.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/boost_test.h>

#include "caller/requestreader.h"
#include "core/errorcode.h"
#include "core/keyform.h"
#include "core/sha256.h"
#include "decide/requestfacts.h"
#include "decide/requestplanner.h"
#include "endpoint/forwardedrequest.h"
#include "http/httprequest.h"
#include "records/change.h"
#include "records/recordset.h"

using namespace cowsliphead;

namespace
{

std::string percentEncoded(const std::string &text)
{
    static constexpr const char *Digits = "0123456789ABCDEF";
    std::string encoded;
    for (const unsigned char character : text) {
        encoded += { '%', Digits[character >> 4U], Digits[character & 15U] };
    }
    return encoded;
}

std::string jsonEscaped(const std::string &text)
{
    static constexpr const char *Digits = "0123456789abcdef";
    std::string escaped;
    for (const unsigned char character : text) {
        escaped += "\\u00";
        escaped += { Digits[character >> 4U], Digits[character & 15U] };
    }
    return escaped;
}

std::string percentDecoded(const std::string &text)
{
    char *decoded = evhttp_decode_uri(text.c_str());
    std::string result = decoded;
    free(decoded);
    return result;
}

/// Everything that an endpoint can read of the request, as it stands and decoded by others' code.
std::string seenByEndpoint(const HttpRequest &request)
{
    std::string seen = request.path_ + "\n" + request.query_ + "\n";
    for (const auto &[field, value] : request.headers_) {
        seen.append(field).append(": ").append(value).append("\n");
    }
    seen += request.body_;
    seen += percentDecoded(seen) + percentDecoded(percentDecoded(seen));
    const auto document = nlohmann::json::parse(request.body_, nullptr, false);
    return document.is_discarded() ? seen : seen + document.dump();
}

HttpRequest completionWith(const std::string &key)
{
    HttpRequest request;
    request.method_ = HttpMethod::Post;
    request.path_ = "/v1/chat/completions";
    request.headers_ = { { "Authorization", "Bearer " + key } };
    request.body_ = R"({"model": "small", "messages": []})";
    return request;
}

struct Fixture {
    Fixture()
        : key_(generateApiKey())
    {
        put("account", "press", "");
        put("key", sha256Hex(key_), R"(, "account": "press")");
        put("model", "small", "");
        put("route", "verses", R"(, "pathPrefix": "/verses", "service": "verses", "open": true)");
    }

    void put(const std::string &kind, const std::string &name, const std::string &fields)
    {
        Change change;
        change.revision_ = records_->revision() + 1;
        change.key_ = RecordKey{ kind, name };
        change.text_ = R"({"schema": 2, "kind": ")" + kind + R"(", "name": ")" + name + "\"" + fields + "}";
        records_ = records_->after(change);
    }

    /// What an endpoint gets of the request; nothing if it is refused.
    Result<HttpRequest> pass(const HttpRequest &request) const
    {
        const auto facts = readRequestFacts(request);
        if (!facts) {
            return tl::unexpected(facts.error());
        }
        const auto plan = planRequest(*records_, *facts, MonotonicTime());
        if (!plan) {
            return tl::unexpected(plan.error());
        }
        return forwardedRequest(request, endpoint_, facts->key_, "attempt-1");
    }

    std::string key_;
    EndpointRecord endpoint_;
    std::shared_ptr<const RecordSet> records_ = std::make_shared<const RecordSet>();
};

/// Places at which a careless or hostile caller may put a key, plain or encoded.
HttpRequest requestExposing(const std::string &key)
{
    const auto written = *rc::gen::elementOf(std::vector<std::string>{ key, percentEncoded(key), percentEncoded(percentEncoded(key)), jsonEscaped(key) });
    const auto around = *rc::gen::container<std::string>(rc::gen::elementOf(std::string("ab/=&- %\\\"c")));
    auto request = *rc::gen::element(completionWith(key), HttpRequest{ HttpMethod::Get, "/verses/1", "", {}, "" });
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
        request.path_ += "/" + around + written;
        break;
    case 1:
        request.query_ = around + written + around;
        break;
    case 2:
        request.body_ = R"({"model": "small", "user": ")" + written + "\"}";
        break;
    case 3:
        request.body_ += around + written;
        break;
    case 4: {
        const auto field = *rc::gen::element<std::string>("aUTHORIZATION", "x-aPi-KEY", "Api-Key", "PROXY-authorization", "cookie", "X-Trace", "Referer");
        const auto scheme = *rc::gen::element<std::string>("Bearer ", "bEaReR\t", "Basic ", "Digest username=", "");
        request.headers_.emplace_back(field, scheme + written);
        break;
    }
    default:
        request.headers_.emplace_back("X-" + written, around);
    }
    return request;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_callers_key)

BOOST_FIXTURE_TEST_SUITE(wherever_the_caller_puts_it, Fixture)

RC_BOOST_FIXTURE_PROP(reaches_no_endpoint, Fixture, ())
{
    const auto request = requestExposing(key_);
    const auto passed = pass(request);
    RC_TAG(passed.has_value());
    if (passed) {
        RC_ASSERT(seenByEndpoint(*passed).find(key_) == std::string::npos);
    }
}

RC_BOOST_FIXTURE_PROP(reaches_no_endpoint_if_it_has_a_form_of_its_own, Fixture, ())
{
    const auto tail = *rc::gen::container<std::string>(8, rc::gen::elementOf(std::string("xyzXYZ789._~+/")));
    const auto key = "own-" + tail;
    put("key", sha256Hex(key), R"(, "account": "press")");
    auto request = requestExposing(key);
    // Such a key is known by the request that carries it in the field for it.
    if (headerValue(request.headers_, "Authorization").empty()) {
        request.headers_.emplace_back("Authorization", "Bearer " + key);
    }
    const auto passed = pass(request);
    if (passed) {
        RC_ASSERT(seenByEndpoint(*passed).find(key) == std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(in_the_body_makes_the_request_malformed_and_not_run)
{
    auto request = completionWith(key_);
    request.body_ = R"({"model": "small", "user": ")" + key_ + "\"}";
    BOOST_TEST(pass(request).error() == ErrorCode::RequestMalformed);
}

BOOST_AUTO_TEST_CASE(in_the_field_for_it_lets_the_request_through_without_it)
{
    auto request = completionWith(key_);
    request.headers_.emplace_back("X-Api-Key", key_);
    request.headers_.emplace_back("X-Mood", "fine");
    const auto passed = pass(request);
    BOOST_REQUIRE(passed.has_value());
    BOOST_TEST(headerValue(passed->headers_, "X-Api-Key").empty());
    BOOST_TEST(headerValue(passed->headers_, "Authorization").empty());
    BOOST_TEST(headerValue(passed->headers_, "X-Mood") == "fine");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(that_comes_with_another, Fixture)

BOOST_AUTO_TEST_CASE(leaves_the_account_open_and_is_refused)
{
    auto request = completionWith(key_);
    request.headers_.emplace_back("authorization", "Bearer " + generateApiKey());
    BOOST_TEST(pass(request).error() == ErrorCode::RequestMalformed);
}

BOOST_AUTO_TEST_CASE(in_one_field_stands_for_no_account)
{
    BOOST_TEST(pass(completionWith(key_ + ", Bearer " + generateApiKey())).error() == ErrorCode::KeyUnknown);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(whose_records_arrive_in_an_odd_order, Fixture)

BOOST_AUTO_TEST_CASE(stands_for_nobody_before_its_account_is_there)
{
    const auto key = generateApiKey();
    put("key", sha256Hex(key), R"(, "account": "sheets")");
    BOOST_TEST(pass(completionWith(key)).error() == ErrorCode::KeyUnknown);
    put("account", "sheets", "");
    BOOST_TEST(pass(completionWith(key)).has_value());
}

BOOST_AUTO_TEST_CASE(stands_for_nobody_once_its_account_is_withdrawn)
{
    Change change;
    change.revision_ = records_->revision() + 1;
    change.action_ = ChangeAction::Withdraw;
    change.key_ = RecordKey{ "account", "press" };
    records_ = records_->after(change);
    BOOST_TEST(pass(completionWith(key_)).error() == ErrorCode::KeyUnknown);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

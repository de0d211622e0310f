#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <event2/http.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/boost_test.h>

#include "caller/requestreader.h"
#include "core/apikey.h"
#include "core/errorcode.h"
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

/// Everything that an endpoint can read in the request, raw and decoded. Decodes with libraries, not with the code under test.
std::string visibleToEndpoint(const HttpRequest &request)
{
    std::string visible = request.path_ + "\n" + request.query_ + "\n";
    for (const auto &[field, value] : request.headers_) {
        visible.append(field).append(": ").append(value).append("\n");
    }
    visible += request.body_;
    visible += percentDecoded(visible) + percentDecoded(percentDecoded(visible));
    const auto document = nlohmann::json::parse(request.body_, nullptr, false);
    return document.is_discarded() ? visible : visible + document.dump();
}

HttpRequest buildCompletion(const std::string &key)
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

    /// The request as forwarded to an endpoint, or the error if the request is rejected.
    Result<HttpRequest> forward(const HttpRequest &request) const
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

/// A request that contains the key, plain or encoded, at a random place where a careless or malicious caller may put it.
HttpRequest requestExposing(const std::string &key)
{
    const auto encodedKey = *rc::gen::elementOf(std::vector<std::string>{ key, percentEncoded(key), percentEncoded(percentEncoded(key)), jsonEscaped(key) });
    const auto filler = *rc::gen::container<std::string>(rc::gen::elementOf(std::string("ab/=&- %\\\"c")));
    auto request = *rc::gen::element(buildCompletion(key), HttpRequest{ HttpMethod::Get, "/verses/1", "", {}, "" });
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
        request.path_ += "/" + filler + encodedKey;
        break;
    case 1:
        request.query_ = filler + encodedKey + filler;
        break;
    case 2:
        request.body_ = R"({"model": "small", "user": ")" + encodedKey + "\"}";
        break;
    case 3:
        request.body_ += filler + encodedKey;
        break;
    case 4: {
        const auto field = *rc::gen::element<std::string>("aUTHORIZATION", "x-aPi-KEY", "Api-Key", "PROXY-authorization", "cookie", "X-Trace", "Referer");
        const auto scheme = *rc::gen::element<std::string>("Bearer ", "bEaReR\t", "Basic ", "Digest username=", "");
        request.headers_.emplace_back(field, scheme + encodedKey);
        break;
    }
    default:
        request.headers_.emplace_back("X-" + encodedKey, filler);
    }
    return request;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_callers_key)

BOOST_FIXTURE_TEST_SUITE(wherever_the_caller_puts_it, Fixture)

RC_BOOST_FIXTURE_PROP(reaches_no_endpoint, Fixture, ())
{
    const auto request = requestExposing(key_);
    const auto forwarded = forward(request);
    RC_TAG(forwarded.has_value());
    if (forwarded) {
        RC_ASSERT(visibleToEndpoint(*forwarded).find(key_) == std::string::npos);
    }
}

RC_BOOST_FIXTURE_PROP(reaches_no_endpoint_if_it_has_a_custom_format, Fixture, ())
{
    const auto suffix = *rc::gen::container<std::string>(8, rc::gen::elementOf(std::string("xyzXYZ789._~+/")));
    const auto key = "own-" + suffix;
    put("key", sha256Hex(key), R"(, "account": "press")");
    auto request = requestExposing(key);
    // A key of a custom format can only be recognized if the request also carries it in a credential field.
    if (headerValue(request.headers_, "Authorization").empty()) {
        request.headers_.emplace_back("Authorization", "Bearer " + key);
    }
    const auto forwarded = forward(request);
    if (forwarded) {
        RC_ASSERT(visibleToEndpoint(*forwarded).find(key) == std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(in_the_body_makes_the_request_malformed_and_not_run)
{
    auto request = buildCompletion(key_);
    request.body_ = R"({"model": "small", "user": ")" + key_ + "\"}";
    BOOST_TEST(forward(request).error() == ErrorCode::RequestMalformed);
}

BOOST_AUTO_TEST_CASE(in_a_credential_field_is_removed_before_forwarding)
{
    auto request = buildCompletion(key_);
    request.headers_.emplace_back("X-Api-Key", key_);
    request.headers_.emplace_back("X-Mood", "fine");
    const auto forwarded = forward(request);
    BOOST_REQUIRE(forwarded.has_value());
    BOOST_TEST(headerValue(forwarded->headers_, "X-Api-Key").empty());
    BOOST_TEST(headerValue(forwarded->headers_, "Authorization").empty());
    BOOST_TEST(headerValue(forwarded->headers_, "X-Mood") == "fine");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(that_comes_with_another, Fixture)

BOOST_AUTO_TEST_CASE(makes_the_account_ambiguous_and_is_rejected)
{
    auto request = buildCompletion(key_);
    request.headers_.emplace_back("authorization", "Bearer " + generateApiKey());
    BOOST_TEST(forward(request).error() == ErrorCode::RequestMalformed);
}

BOOST_AUTO_TEST_CASE(in_the_same_field_belongs_to_no_account)
{
    BOOST_TEST(forward(buildCompletion(key_ + ", Bearer " + generateApiKey())).error() == ErrorCode::KeyUnknown);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(whose_records_arrive_out_of_order, Fixture)

BOOST_AUTO_TEST_CASE(is_unknown_before_its_account_exists)
{
    const auto key = generateApiKey();
    put("key", sha256Hex(key), R"(, "account": "sheets")");
    BOOST_TEST(forward(buildCompletion(key)).error() == ErrorCode::KeyUnknown);
    put("account", "sheets", "");
    BOOST_TEST(forward(buildCompletion(key)).has_value());
}

BOOST_AUTO_TEST_CASE(is_unknown_once_its_account_is_withdrawn)
{
    Change change;
    change.revision_ = records_->revision() + 1;
    change.action_ = ChangeAction::Withdraw;
    change.key_ = RecordKey{ "account", "press" };
    records_ = records_->after(change);
    BOOST_TEST(forward(buildCompletion(key_)).error() == ErrorCode::KeyUnknown);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

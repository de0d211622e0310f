#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "core/errorcode.h"
#include "platform/base64.h"
#include "platform/platformdialect.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

RequestHead callerHead()
{
    return { "POST",
             "/a/b",
             { { "Host", "h" },
               { "X-Attempt-Id", "id-1" },
               { "X-Api-Key", "secret" },
               { "X-Deadline-Ms", "1500" },
               { "X-Token-Count", "1460,80" },
               { "X-Prompt-Prefix", "aa:800,bb:410,cc:250" },
               { "X-Tenant", "someone" },
               { "X-Kv-Hold", "h1" },
               { "x-kv-source", "10.0.0.1:1/x" },
               { "Connection", "close, X-Hop" },
               { "X-Hop", "1" },
               { "X-Other", "kept" } } };
}

RequestHead forwarded()
{
    DispatchMetadata metadata;
    metadata.endpoint_ = EndpointId("i-1");
    metadata.account_ = AccountId("press");
    metadata.timeLeft_ = 900ms;
    return PlatformDialect::endpointRequest(callerHead(), metadata);
}

std::size_t countOf(const HttpHeaders &headers, const std::string &name)
{
    return static_cast<std::size_t>(std::count_if(headers.begin(), headers.end(), [&](const auto &field) { return isSameHeaderName(field.first, name); }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_platforms_dialect)

BOOST_AUTO_TEST_SUITE(of_a_callers_request)

BOOST_AUTO_TEST_CASE(is_read_into_metadata)
{
    const auto metadata = PlatformDialect::readRequest(callerHead());
    BOOST_REQUIRE(metadata.has_value());
    BOOST_TEST(metadata->attemptId_ == "id-1");
    BOOST_TEST(metadata->key_ == "secret");
    BOOST_TEST(metadata->callerTimeout_->count() == 1500);
    BOOST_TEST(metadata->promptTokens_ == 1460U);
    BOOST_TEST(metadata->sharedTokens() == 1210U);
}

BOOST_AUTO_TEST_CASE(with_an_invalid_number_is_malformed)
{
    for (const auto &[name, value] :
         HttpHeaders{ { "X-Deadline-Ms", "soon" }, { "X-Token-Count", "1" }, { "X-Prompt-Prefix", "aa" }, { "X-Deadline-Ms", "-1" } }) {
        BOOST_TEST(PlatformDialect::readRequest({ "GET", "/", { { name, value } } }).error() == ErrorCode::RequestMalformed);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_a_request_to_an_endpoint)

BOOST_AUTO_TEST_CASE(the_key_is_left_out_and_the_account_set)
{
    const auto head = forwarded();
    BOOST_TEST(countOf(head.headers_, "X-Api-Key") == 0U);
    BOOST_TEST(countOf(head.headers_, "X-Tenant") == 1U);
    BOOST_TEST(headerValue(head.headers_, "X-Tenant") == "press");
}

BOOST_AUTO_TEST_CASE(what_only_the_gateway_sets_is_not_taken_from_the_caller)
{
    const auto head = forwarded();
    BOOST_TEST(countOf(head.headers_, "X-Kv-Hold") == 0U);
    BOOST_TEST(countOf(head.headers_, "X-Kv-Source") == 0U);
    BOOST_TEST(headerValue(head.headers_, "X-Deadline-Ms") == "900");
}

BOOST_AUTO_TEST_CASE(fields_of_the_connection_are_left_out_and_others_kept)
{
    const auto head = forwarded();
    BOOST_TEST(countOf(head.headers_, "Connection") == 0U);
    BOOST_TEST(countOf(head.headers_, "X-Hop") == 0U);
    BOOST_TEST(headerValue(head.headers_, "X-Other") == "kept");
    BOOST_TEST(headerValue(head.headers_, "X-Attempt-Id") == "id-1");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_an_endpoints_answer)

BOOST_AUTO_TEST_CASE(is_not_executed_if_it_says_so)
{
    BOOST_TEST(PlatformDialect::readResponse({ 503, "", { { "X-Not-Executed", "1" } }, {} }).isNotExecuted_);
    BOOST_TEST(!PlatformDialect::readResponse({ 503, "", {}, {} }).isNotExecuted_);
    BOOST_TEST(!PlatformDialect::readResponse({ 421, "", {}, {} }).isNotExecuted_);
}

BOOST_AUTO_TEST_CASE(is_misdirected_by_its_status_and_names_the_endpoint_that_answered)
{
    const auto response = PlatformDialect::readResponse({ 421, "", { { "X-Instance-Id", "other" } }, {} });
    BOOST_TEST(response.isMisdirected_);
    BOOST_TEST(response.answeredBy_.value() == "other");
    const auto anonymous = PlatformDialect::readResponse({ 421, "", {}, {} });
    BOOST_TEST(anonymous.isMisdirected_);
    BOOST_TEST(anonymous.answeredBy_.isEmpty());
    BOOST_TEST(!PlatformDialect::readResponse({ 503, "", { { "X-Instance-Id", "other" } }, {} }).isMisdirected_);
}

BOOST_AUTO_TEST_CASE(is_a_refusal_to_callers_by_its_status)
{
    for (const int status : { 408, 421, 429, 503 }) {
        BOOST_TEST(PlatformDialect::readResponse({ status, "", {}, {} }).isRefusal_);
    }
    for (const int status : { 200, 400, 404, 500, 502, 504 }) {
        BOOST_TEST(!PlatformDialect::readResponse({ status, "", {}, {} }).isRefusal_);
    }
}

BOOST_AUTO_TEST_CASE(is_genuine_only_with_signature_and_identifier_and_without_an_encoding)
{
    const HttpHeaders genuine{ { "X-Attempt-Id", "a" }, { "X-Response-Stamp", "s" } };
    BOOST_TEST(PlatformDialect::readResponse({ 200, "", genuine, {} }).isGenuine_);
    auto encoded = genuine;
    encoded.emplace_back("Content-Encoding", "gzip");
    BOOST_TEST(!PlatformDialect::readResponse({ 200, "", encoded, {} }).isGenuine_);
    BOOST_TEST(!PlatformDialect::readResponse({ 200, "", { { "X-Attempt-Id", "a" } }, {} }).isGenuine_);
}

BOOST_AUTO_TEST_CASE(tells_that_the_endpoint_leaves)
{
    BOOST_TEST(PlatformDialect::readResponse({ 200, "", { { "Server-Leaving", "1" } }, {} }).isLeaving_);
    BOOST_TEST(PlatformDialect::readResponse({ 500, "", { { "server-leaving", "1" } }, {} }).isLeaving_);
    BOOST_TEST(!PlatformDialect::readResponse({ 200, "", { { "Server-Leaving", "0" } }, {} }).isLeaving_);
    BOOST_TEST(!PlatformDialect::readResponse({ 200, "", {}, {} }).isLeaving_);
}

BOOST_AUTO_TEST_CASE(names_the_pause_that_the_endpoint_asks_for)
{
    const auto pauseOf = [](int status, const HttpHeaders &headers) { return PlatformDialect::readResponse({ status, "", headers, {} }).pause_; };
    using Pause = std::optional<std::chrono::milliseconds>;
    BOOST_TEST((pauseOf(503, { { "Retry-After", "3" } }) == Pause(3000)));
    BOOST_TEST((pauseOf(503, { { "Retry-After", "0" } }) == Pause(0)));
    BOOST_TEST((pauseOf(503, { { "Retry-After", "0.25" } }) == Pause(250)));
    BOOST_TEST((pauseOf(503, { { "Retry-After", "3" }, { "Retry-After", "3" } }) == Pause(3000)));
    BOOST_TEST((pauseOf(503, { { "Retry-After", "99999999999999999999" } }) == Pause(std::chrono::hours(1))));
    BOOST_TEST((pauseOf(200, { { "Retry-After", "3" } }) == Pause()));
    BOOST_TEST((pauseOf(503, {}) == Pause()));
}

BOOST_AUTO_TEST_CASE(with_a_malformed_pause_is_marked_as_such)
{
    for (const auto *value : { "-1", "soon", "3s", " 3", "nan", "-nan", "1e999", "Sat, 05 Dec 2026 05:00:00 GMT" }) {
        BOOST_TEST_CONTEXT(value)
        {
            const auto metadata = PlatformDialect::readResponse({ 503, "", { { "Retry-After", value } }, {} });
            BOOST_TEST(!metadata.pause_.has_value());
            BOOST_TEST(metadata.isPauseMalformed_);
        }
    }
    BOOST_TEST(PlatformDialect::readResponse({ 503, "", { { "Retry-After", "3" }, { "Retry-After", "4" } }, {} }).isPauseMalformed_);
}

BOOST_AUTO_TEST_CASE(with_a_handle_returns_it)
{
    BOOST_TEST(*PlatformDialect::readHandle(R"({"handle":"3f","tokens":1,"version":1})") == "3f");
    BOOST_TEST(!PlatformDialect::readHandle("{}").has_value());
    BOOST_TEST(!PlatformDialect::readHandle("[").has_value());
}

BOOST_AUTO_TEST_CASE(names_the_start_of_an_endpoint_only_as_a_whole_number)
{
    BOOST_TEST(*PlatformDialect::readIncarnation(R"({"stage":"decode","born":1765100000000,"sequence":2})") == 1765100000000U);
    for (const auto *text : { "{}", "[", R"({"born":"1"})", R"({"born":-1})", R"({"born":1.5})", R"({"born":null})", R"({"models":[{"born":1}]})" }) {
        BOOST_TEST(!PlatformDialect::readIncarnation(text).has_value(), text);
    }
}

BOOST_AUTO_TEST_SUITE_END()

RC_BOOST_PROP(base64_round_trips_any_bytes, (const std::vector<std::uint8_t> &bytes))
{
    const std::string text(bytes.begin(), bytes.end());
    RC_ASSERT(base64::decode(base64::encode(text)) == text);
}

BOOST_AUTO_TEST_SUITE_END()

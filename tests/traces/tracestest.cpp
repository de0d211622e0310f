#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "traces/span.h"
#include "traces/spancodec.h"
#include "traces/tracecontext.h"

using namespace cowsliphead;

BOOST_AUTO_TEST_SUITE(a_trace)

BOOST_AUTO_TEST_SUITE(that_a_caller_started)

BOOST_AUTO_TEST_CASE(continues_with_the_same_trace_identifier_and_a_new_span)
{
    const auto caller = TraceContext::parse("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01");
    BOOST_REQUIRE(caller.has_value());
    const auto child = caller->child();
    BOOST_TEST(child.traceId_ == "0af7651916cd43dd8448eb211c80319c");
    BOOST_TEST(child.spanId_ != caller->spanId_);
    BOOST_TEST(TraceContext::parse(child.toTraceparent()).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_header_is_malformed)

BOOST_AUTO_TEST_CASE(is_ignored)
{
    for (const auto *header : { "",
                                "00-",
                                "00-00000000000000000000000000000000-b7ad6b7169203331-01",
                                "00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
                                "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
                                "00-0af7651916cd43dd8448eb211c80319cxb7ad6b7169203331-01" }) {
        BOOST_TEST(!TraceContext::parse(header).has_value(), header);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_is_exported)

BOOST_AUTO_TEST_CASE(has_each_span_with_its_times_in_otlp_format)
{
    Span span;
    span.context_ = TraceContext::start();
    span.name_ = "request";
    span.start_ = WallTime(std::chrono::seconds(1));
    span.end_ = WallTime(std::chrono::seconds(2));
    span.attributes_["account"] = "press";
    const auto document = nlohmann::json::parse(encodeSpans("a1", { span }));
    const auto exported = document["resourceSpans"][0]["scopeSpans"][0]["spans"][0];
    BOOST_TEST(exported["startTimeUnixNano"] == "1000000000");
    BOOST_TEST(exported["attributes"][0]["value"]["stringValue"] == "press");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

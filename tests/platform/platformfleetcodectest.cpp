#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "core/errorcode.h"
#include "platform/platformfleetcodec.h"

using namespace cowsliphead;

namespace
{

Result<EndpointEntry> decode(const std::string &value)
{
    return PlatformFleetCodec::decodeEndpoint({ "servers/i-1", value, 7, false });
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_platforms_fleet)

BOOST_AUTO_TEST_SUITE(an_endpoints_entry)

BOOST_AUTO_TEST_CASE(of_an_engine_gives_its_address_stage_and_incarnation)
{
    const auto entry =
        decode(R"({"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1","slots":12,"state":"ready","stage":"prefill","born":99,"spot":true})");
    BOOST_REQUIRE(entry.has_value());
    BOOST_TEST(entry->id_.value() == "i-1");
    BOOST_TEST(entry->incarnation_ == 99U);
    BOOST_TEST((entry->stage_ == EngineStage::Prefill));
    BOOST_TEST((entry->address_ == SocketAddress{ "10.0.0.1", 80 }));
    BOOST_TEST(entry->isReclaimable_);
}

BOOST_AUTO_TEST_CASE(that_is_draining_is_marked_as_leaving)
{
    BOOST_TEST(decode(R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":1,"state":"draining"})")->isLeaving_);
}

BOOST_AUTO_TEST_CASE(that_is_malformed_is_an_error)
{
    for (const auto *value : { "",
                               "{}",
                               "null",
                               "[1]",
                               "\xff\xfe",
                               R"({"service":1,"address":"10.0.0.1:80","zone":"a","slots":1,"state":"ready"})",
                               R"({"service":"s","address":"nowhere","zone":"a","slots":1,"state":"ready"})",
                               R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":"many","state":"ready"})",
                               R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":1,"state":"asleep"})" }) {
        BOOST_TEST(decode(value).error() == ErrorCode::RecordMalformed);
    }
}

// Guards against entries that are used with whatever their numbers became in a conversion.
BOOST_AUTO_TEST_SUITE(of_another_writer)

BOOST_AUTO_TEST_CASE(with_a_number_out_of_range_is_an_error)
{
    const std::string start = R"({"service":"s","address":"10.0.0.1:80","zone":"a","state":"ready")";
    for (const auto *fields : { R"("slots":-1)",
                                R"("slots":4294967296)",
                                R"("slots":1e300)",
                                R"("slots":1e400)",
                                R"("slots":1.5)",
                                R"("slots":99999999999999999999999999)",
                                R"("slots":1,"sequence":-1)",
                                R"("slots":1,"sequence":1e30)",
                                R"("slots":1,"sequence":99999999999999999999999999)",
                                R"("slots":1,"born":-5)",
                                R"("slots":1,"born":1e300)",
                                R"("slots":1,"born":99999999999999999999999999)",
                                R"("slots":1,"born":18446744073709551615)" }) {
        BOOST_TEST_CONTEXT(fields)
        {
            const auto entry = decode(start + "," + fields + "}");
            BOOST_TEST((!entry && entry.error() == ErrorCode::RecordMalformed));
        }
    }
}

BOOST_AUTO_TEST_CASE(with_a_field_of_another_type_is_an_error)
{
    const std::string start = R"({"service":"s","address":"10.0.0.1:80","zone":"a","state":"ready","slots":1)";
    for (const auto *field :
         { R"("sequence":"1")", R"("born":[])", R"("born":null)", R"("stage":7)", R"("stage":"resting")", R"("spot":"yes")", R"("spot":1)" }) {
        BOOST_TEST_CONTEXT(field)
        {
            const auto entry = decode(start + "," + field + "}");
            BOOST_TEST((!entry && entry.error() == ErrorCode::RecordMalformed));
        }
    }
}

BOOST_AUTO_TEST_CASE(with_a_port_out_of_range_is_an_error)
{
    for (const auto *address : { "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999999999", "10.0.0.1:-1", "10.0.0.1:", "10.0.0.1", "10.0.0.256:80" }) {
        BOOST_TEST_CONTEXT(address)
        {
            const auto entry = decode(R"({"service":"s","address":")" + std::string(address) + R"(","zone":"a","slots":1,"state":"ready"})");
            BOOST_TEST((!entry && entry.error() == ErrorCode::RecordMalformed));
        }
    }
}

BOOST_AUTO_TEST_CASE(that_is_nested_deeply_is_an_error)
{
    // As deep as the largest value of the store allows.
    constexpr std::size_t Depth = 500000;
    std::string objects;
    for (std::size_t level = 0; level < Depth / 4; ++level) {
        objects += R"({"":)";
    }
    for (const auto &value : { std::string(Depth, '['), std::string(Depth, '[') + std::string(Depth, ']'), objects + "1" + std::string(Depth / 4, '}') }) {
        BOOST_TEST(decode(value).error() == ErrorCode::RecordMalformed);
        const auto entry = decode(R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":1,"state":"ready","more":)" + value + "}");
        BOOST_TEST((!entry && entry.error() == ErrorCode::RecordMalformed));
    }
}

BOOST_AUTO_TEST_CASE(whose_key_is_no_identifier_is_an_error)
{
    const std::string value = R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":1,"state":"ready"})";
    for (const auto *key : { "servers/", "servers/a b", "servers/a\r\nX-Api-Key: k", "servers/\xff" }) {
        BOOST_TEST((PlatformFleetCodec::decodeEndpoint({ key, value, 7, false }).error() == ErrorCode::RecordMalformed));
    }
}

BOOST_AUTO_TEST_SUITE_END()

RC_BOOST_PROP(of_any_bytes_does_not_crash_the_decoder, (const std::string &value))
{
    static_cast<void>(decode(value));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_configuration)

BOOST_AUTO_TEST_CASE(gives_routes_services_accounts_and_limits)
{
    const auto configuration = PlatformFleetCodec::decodeConfiguration({ "op/config",
                                                                         R"({"version":7,"routes":[
        {"name":"r1","hostname":"h","prefix":"/a/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":600,"priority":1,
         "trafficSplit":[{"service":"s","weight":90},{"service":"t","weight":10}],"maxAttempts":2,"resumable":true,"gapAimMs":150},
        {"name":"r2","hostname":"h","prefix":"/b/","kind":"idempotent","timeoutMs":1200,"service":"t"}],
        "services":[{"name":"s","maxConnections":150,"engine":{"slots":12,"kvCapacityTokens":356225,"switchS":3.0},
          "scaling":{"minReplicas":1,"maxReplicas":12,"bootS":4.0,"spotPrice":0.22,"zonePrices":{"a":0.85}}},{"name":"t"}],
        "limits":{"maxHeaderBytes":1000,"maxBodyBytes":2000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
        "tenants":[{"name":"press","apiKeys":["k1","k2"],"priority":1}]})",
                                                                         12,
                                                                         false });
    BOOST_REQUIRE(configuration.has_value());
    BOOST_TEST(configuration->revision_ == 12U);
    BOOST_TEST(configuration->routes_[0].mayRunAgain());
    BOOST_TEST(configuration->routes_[0].shares_.size() == 2U);
    BOOST_TEST((configuration->routes_[1].kind_ == RouteKind::Idempotent));
    BOOST_TEST(configuration->services_.at(ServiceName("s")).engine_->slots_ == 12U);
    BOOST_TEST(configuration->services_.at(ServiceName("s")).scaling_->maxReplicas_ == 12U);
    BOOST_TEST(configuration->accounts_.at("k2").id_.value() == "press");
    BOOST_TEST(configuration->limits_.maxBodyBytes_ == 2000U);
}

/// Guards against adaptive serving on deployments whose KV caches are costly to move.
BOOST_AUTO_TEST_CASE(uses_adaptive_serving_only_with_a_compact_kv_cache)
{
    const auto usesAdaptiveServing = [](const std::string &engine) {
        const auto text = R"({"version":1,"routes":[],"services":[{"name":"s"},{"name":"t","engine":{"slots":12)" + engine + "}}]}";
        return PlatformFleetCodec::decodeConfiguration({ "op/config", text, 1, false })->usesAdaptiveServing();
    };
    BOOST_TEST(usesAdaptiveServing(R"(,"kvTokenBytes":18432,"linkMbps":110000.0)"));
    BOOST_TEST(!usesAdaptiveServing(R"(,"kvTokenBytes":327680,"linkMbps":1900000.0)"));
    BOOST_TEST(!usesAdaptiveServing(""));
}

BOOST_AUTO_TEST_CASE(gives_the_patience_of_callers_of_a_stream)
{
    const auto patienceOf = [](const std::string &route) {
        const auto text =
            R"({"version":1,"routes":[{"hostname":"h","prefix":"/","kind":"streaming","timeoutMs":6000,"service":"s",)" + route + R"(}],"services":[]})";
        return PlatformFleetCodec::decodeConfiguration({ "op/config", text, 1, false })->routes_[0].patience();
    };
    BOOST_TEST((patienceOf(R"("targetLatencyMs":600,"gapAimMs":150.0)") == std::chrono::milliseconds(2400)));
    BOOST_TEST((patienceOf(R"("targetLatencyMs":300,"gapAimMs":150)") == std::chrono::milliseconds(2000)));
    BOOST_TEST((patienceOf(R"("targetLatencyMs":400,"gapAimMs":500)") == std::chrono::milliseconds(4000)));
}

BOOST_AUTO_TEST_CASE(with_a_route_of_unknown_kind_treats_it_as_not_repeatable)
{
    const auto configuration = PlatformFleetCodec::decodeConfiguration(
        { "op/config", R"({"version":1,"routes":[{"hostname":"h","prefix":"/","kind":"new","timeoutMs":1,"service":"s"}],"services":[]})", 1, false });
    BOOST_TEST(!configuration->routes_[0].mayRunAgain());
}

BOOST_AUTO_TEST_CASE(that_cannot_be_read_is_an_error)
{
    BOOST_TEST(PlatformFleetCodec::decodeConfiguration({ "op/config", "{", 1, false }).error() == ErrorCode::RecordMalformed);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "gateway/gatewaycontext.h"
#include "gateway/requestadmission.h"
#include "gateway/requestmetadata.h"
#include "gateway/requestrouter.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

const ServiceName Service("service");

EndpointEntry engine(const std::string &id, EngineStage stage)
{
    EndpointEntry entry;
    entry.id_ = EndpointId(id);
    entry.service_ = Service;
    entry.slots_ = 12;
    entry.stage_ = stage;
    return entry;
}

std::shared_ptr<Configuration> configuration(std::uint64_t cacheTokenBytes)
{
    auto result = std::make_shared<Configuration>();
    EngineSpec spec;
    spec.cacheTokenBytes_ = cacheTokenBytes;
    result->services_.emplace(Service, ServiceSpec{ Service, 100, spec, std::nullopt });
    result->services_.emplace(ServiceName("plain"), ServiceSpec{ ServiceName("plain"), 100, std::nullopt, std::nullopt });
    return result;
}

/// A gateway without connections that knows two prefill engines and a decode engine, and a long prompt that arrives there.
struct LongPromptFixture {
    LongPromptFixture()
    {
        context_.endpoints_.update(
            { engine("p1", EngineStage::Prefill), engine("p2", EngineStage::Prefill), engine("d1", EngineStage::Decode) }, now(), context_.clock_.wallNow());
        route_.kind_ = RouteKind::Streaming;
        route_.timeout_ = 6000ms;
        route_.targetLatency_ = 600ms;
        admitted_.route_ = &route_;
        metadata_.promptTokens_ = 4500;
        metadata_.callerTimeout_ = 6000ms;
        // The decode engine is busy, so that it reads no long prompts.
        context_.endpoints_.find(EndpointId("d1"))->running_ = 12;
    }

    MonotonicTime now() const
    {
        return context_.clock_.now();
    }

    /// The other gateways have placed so many tokens at each of the two prefill engines.
    void reportTokens(std::uint64_t first, std::uint64_t second)
    {
        EndpointLoads loads{ { endpointKeyOf(EndpointId("p1")), 0, first }, { endpointKeyOf(EndpointId("p2")), 0, second } };
        std::sort(loads.begin(), loads.end());
        context_.endpoints_.setLoadOfOthers(loads, now());
    }

    AdmissionKind decide(std::chrono::milliseconds elapsed = 0ms, bool isPromptRead = false, bool mayHaveRun = false)
    {
        RequestRouter router(context_, metadata_);
        router.useService(Service, &*spec_.engine_, admitted_.route_->targetLatency_);
        admission_.emplace(context_, metadata_, admitted_, spec_, now() - elapsed);
        return admission_->decide(router, isPromptRead, mayHaveRun, {}).kind_;
    }

    std::uint64_t refusals(const char *reason) const
    {
        return context_.metrics_.admissions_.value({ { "reason", reason }, { "result", "refused" }, { "service", "service" } });
    }

    EventLoop loop_;
    GatewayContext context_{ .loop_ = loop_, .settings_ = {}, .usage_ = {}, .spans_ = {}, .crashReports_ = {} };
    ServiceSpec spec_ = configuration(18432)->services_.at(Service);
    Route route_;
    AdmittedRequest admitted_;
    RequestMetadata metadata_;
    std::optional<RequestAdmission> admission_;
};

/// What one engine reads in a second.
constexpr std::uint64_t TokensPerSecond = 45000;

} // namespace

BOOST_AUTO_TEST_SUITE(the_admission_of_requests)

BOOST_AUTO_TEST_CASE(concerns_engines_with_a_compact_cache_and_plain_services_beside_them)
{
    const auto compact = configuration(18432);
    BOOST_TEST(RequestAdmission::appliesTo(*compact, Service));
    BOOST_TEST(RequestAdmission::appliesTo(*compact, ServiceName("plain")));
    const auto large = configuration(327680);
    BOOST_TEST(!RequestAdmission::appliesTo(*large, Service));
    BOOST_TEST(!RequestAdmission::appliesTo(*large, ServiceName("plain")));
}

BOOST_FIXTURE_TEST_SUITE(refuses_a_long_prompt, LongPromptFixture)

BOOST_AUTO_TEST_CASE(if_every_queue_is_longer_than_its_callers_patience)
{
    // Guards against the present decision, which sends it to the shorter queue, where the caller leaves after 2.4 s.
    reportTokens(4 * TokensPerSecond, 3 * TokensPerSecond);
    BOOST_TEST((decide() == AdmissionKind::Refuse));
    BOOST_TEST(errorName(admission_->reason()) == "first_event_too_late");
    BOOST_TEST(admission_->retryAfter().count() >= 1333);
    BOOST_TEST(admission_->retryAfter().count() <= 2000);
    BOOST_TEST(refusals("first_event_too_late") == 1U);
}

BOOST_AUTO_TEST_CASE(on_a_retry_if_too_little_time_is_left_for_it)
{
    reportTokens(TokensPerSecond, TokensPerSecond);
    BOOST_TEST((decide() == AdmissionKind::Send));
    BOOST_TEST((decide(1300ms) == AdmissionKind::Refuse));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(sends_a_long_prompt, LongPromptFixture)

BOOST_AUTO_TEST_CASE(if_one_engine_can_read_it_in_time)
{
    reportTokens(4 * TokensPerSecond, 0);
    BOOST_TEST((decide() == AdmissionKind::Send));
    BOOST_TEST(refusals("first_event_too_late") == 0U);
}

BOOST_AUTO_TEST_CASE(if_no_report_tells_the_load_of_one_engine)
{
    // Guards against refusals by a gateway that hears no relay, or while an engine is new.
    for (const auto *id : { "p1", "p2" }) {
        context_.endpoints_.find(EndpointId(id))->prefillQueue_.promptSent(4 * TokensPerSecond);
    }
    BOOST_TEST((decide() == AdmissionKind::Send));
    reportTokens(4 * TokensPerSecond, 4 * TokensPerSecond);
    context_.endpoints_.update(
        { engine("p1", EngineStage::Prefill), engine("p2", EngineStage::Prefill), engine("p3", EngineStage::Prefill) }, now(), context_.clock_.wallNow());
    BOOST_TEST((decide() == AdmissionKind::Send));
}

BOOST_AUTO_TEST_CASE(that_an_engine_has_read_or_may_have_run)
{
    reportTokens(4 * TokensPerSecond, 4 * TokensPerSecond);
    BOOST_TEST((decide(2390ms, true) == AdmissionKind::Send));
    BOOST_TEST((decide(2390ms, false, true) == AdmissionKind::Send));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(withdraws_a_stream_that_has_not_begun, LongPromptFixture)

BOOST_AUTO_TEST_CASE(shortly_before_its_caller_leaves)
{
    decide();
    BOOST_TEST(admission_->withdrawalTime().count() == 2350);
    admission_->patienceEnded();
    BOOST_TEST(refusals("deadline_unreachable") == 1U);
    BOOST_TEST(admission_->retryAfter().count() >= 100);
    route_.kind_ = RouteKind::Idempotent;
    BOOST_TEST(admission_->withdrawalTime().count() == 6000);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

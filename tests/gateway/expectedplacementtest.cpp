#include <boost/test/unit_test.hpp>

#include "gateway/requestrouter.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

/// A gateway's router of a long prompt to a service with eight engines that read and eight that answer.
struct Router {
    EventLoop loop_;
    GatewayContext context_{ .loop_ = loop_, .settings_ = {}, .usage_ = {}, .spans_ = {}, .crashReports_ = {} };
    EngineSpec spec_{ .slots_ = 12, .cacheTokens_ = 452991, .cacheTokenBytes_ = 18432, .linkBitsPerSecond_ = 110e9 };
    RequestMetadata metadata_;
    const ServiceName service_ = ServiceName("engines");

    Router()
    {
        metadata_.promptParts_ = { { "shared", 13300 }, { "own", 3720 } };
        metadata_.promptTokens_ = 17020;
        context_.gatewayCount_ = 59;
        list(8);
    }

    void list(int readers)
    {
        std::vector<EndpointEntry> entries;
        for (int number = 0; number < readers + 8; ++number) {
            EndpointEntry entry;
            entry.id_ = EndpointId("engine-" + std::to_string(number));
            entry.service_ = service_;
            entry.slots_ = 12;
            entry.stage_ = number < readers ? EngineStage::Prefill : EngineStage::Decode;
            entries.push_back(entry);
        }
        context_.endpoints_.update(entries, context_.clock_.now(), context_.clock_.wallNow());
        context_.endpoints_.setLoadOfOthers({}, context_.clock_.now());
    }

    RequestRouter router()
    {
        RequestRouter router(context_, metadata_);
        router.useService(service_, &spec_, 600ms);
        return router;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(the_router_of_a_long_prompt, Router)

BOOST_AUTO_TEST_SUITE(to_engines_with_a_compact_cache)

BOOST_AUTO_TEST_CASE(expects_a_time_and_names_an_engine_to_fetch_from)
{
    auto router = this->router();
    BOOST_TEST(router.shouldPrefill());
    BOOST_TEST(router.expectedTime().has_value());
    const auto choice = router.choosePrefill();
    BOOST_REQUIRE(choice.engine_ != nullptr);
    BOOST_TEST(choice.engine_ == router.primaryEngine());
    BOOST_TEST((choice.expected_ && choice.expected_->reading_ > 60ms && choice.expected_->fetch_ == 0ms));
    // A home that was started recently lacks the parts, which the engine that answered the last request for them still holds.
    BOOST_REQUIRE(choice.source_ != nullptr);
    BOOST_TEST(choice.source_ == router.chooseEndpoint(true));
}

/// Guards against prompts that wait at their home while other engines are idle.
BOOST_AUTO_TEST_CASE(leaves_a_home_with_a_long_queue)
{
    auto *home = router().choosePrefill().engine_;
    home->prefillQueue_.promptSent(100000);
    const auto choice = router().choosePrefill();
    BOOST_TEST(choice.engine_ != home);
    BOOST_TEST(choice.source_ == home);
    home->prefillQueue_.promptDone(100000);
}

/// Guards against a second call to an engine that has just failed.
BOOST_AUTO_TEST_CASE(tries_another_engine_after_a_failure)
{
    auto router = this->router();
    const auto *first = router.choosePrefill().engine_;
    BOOST_TEST(router.choosePrefill().engine_ != first);
}

/// Guards against a request without an estimate while only engines that answer are left.
BOOST_AUTO_TEST_CASE(has_an_engine_that_answers_read_the_prompt_if_there_is_no_other)
{
    list(0);
    auto router = this->router();
    BOOST_TEST(!router.shouldPrefill());
    BOOST_TEST((router.expectedTime() && router.expectedTime()->reading_ > 120ms));
    BOOST_TEST(router.chooseEndpoint(false) != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(to_other_engines)

/// Guards against a change for deployments whose KV cache is costly to transfer.
BOOST_AUTO_TEST_CASE(chooses_one_of_two_engines_as_before)
{
    spec_.cacheTokenBytes_ = 327680;
    auto router = this->router();
    const auto candidates = context_.endpoints_.candidates(service_, EngineStage::Prefill, {}, context_.clock_.now());
    const auto expected = placement::prefillEngine(router.sharedParts(), candidates, context_.gatewayCount_, context_.clock_.now());
    BOOST_TEST(!router.expectedTime());
    const auto choice = router.choosePrefill();
    BOOST_TEST(choice.engine_ == expected.engine_);
    BOOST_TEST(choice.source_ == expected.source_);
    BOOST_TEST(!choice.expected_);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

#include <filesystem>

#include <unistd.h>

#include <boost/test/results_collector.hpp>
#include <boost/test/unit_test.hpp>

#include "crashfleet.h"

using namespace std::chrono_literals;

namespace
{

/// Time after the third crash within which all gateways know the request, and the sendings that may still reach endpoints after that.
constexpr auto SpreadTime = 3000ms;
constexpr int MaxLateSendings = 3;
constexpr std::size_t Threshold = 3;

/// Time until the gateways serve after their start.
constexpr auto StartTime = 1500ms;

/// A folder that is removed unless a check has failed.
struct Fixture {
    std::filesystem::path folder_ = std::filesystem::temp_directory_path() / ("cowsliphead-crashes-" + std::to_string(getpid()));
    std::unique_ptr<CrashFleet> fleet_;

    explicit Fixture(CrashFleet::Links links = CrashFleet::Links::Relays)
    {
        std::filesystem::create_directories(folder_);
        fleet_ = std::make_unique<CrashFleet>(folder_.string(), links);
        fleet_->runFor(StartTime);
    }

    ~Fixture()
    {
        fleet_.reset();
        if (boost::unit_test::results_collector.results(boost::unit_test::framework::current_test_case().p_id).passed()) {
            std::filesystem::remove_all(folder_);
        } else {
            BOOST_TEST_MESSAGE("logs in " << folder_);
        }
    }

    void checkLateCrashes() const
    {
        BOOST_REQUIRE(fleet_->crashes().size() >= Threshold);
        BOOST_TEST_MESSAGE(fleet_->crashes().size() << " crashes");
        BOOST_TEST(fleet_->crashesAfter(fleet_->crashes()[Threshold - 1] + SpreadTime) <= MaxLateSendings);
    }

    Fixture(const Fixture &) = delete;
    Fixture &operator=(const Fixture &) = delete;
};

/// Gateways that are cut off from each other and reach only the store.
struct CutOffFixture : Fixture {
    CutOffFixture()
        : Fixture(CrashFleet::Links::StoreOnly)
    {
    }
};

} // namespace

// Regression test (incident BUDGET, namib-verse): gateways knew nothing of a request beyond one attempt, so that a request that crashes
// endpoints crashed one after the other.
BOOST_FIXTURE_TEST_SUITE(a_request_that_crashes_each_endpoint, Fixture)

BOOST_AUTO_TEST_CASE(is_sent_to_no_endpoint_by_any_gateway_once_three_have_crashed)
{
    fleet_->sendCrashingRequests(150ms);
    fleet_->runFor(9000ms);
    checkLateCrashes();
    BOOST_TEST(fleet_->answersWith(503) > 0);
    BOOST_TEST(fleet_->ledger().violations().empty());
    BOOST_TEST(fleet_->ledger().successRateSince(std::chrono::steady_clock::now() - 3s) > 0.9);
}

BOOST_AUTO_TEST_CASE(is_still_known_after_all_gateways_were_killed)
{
    fleet_->sendCrashingRequests(150ms);
    fleet_->runFor(6000ms);
    fleet_->killGateways();
    const auto killedAt = std::chrono::steady_clock::now();
    fleet_->runFor(4000ms);
    BOOST_TEST(fleet_->crashesAfter(killedAt) <= MaxLateSendings);
}

BOOST_FIXTURE_TEST_CASE(becomes_known_through_the_store_to_gateways_that_are_cut_off_from_each_other, CutOffFixture)
{
    fleet_->sendCrashingRequests(150ms);
    fleet_->runFor(6000ms);
    checkLateCrashes();
}

BOOST_AUTO_TEST_SUITE_END()

// Regression test (incident BUDGET, LOST): gateways counted crashes by whole requests, so that different requests with one part of a prompt
// crashed endpoint after endpoint.
BOOST_FIXTURE_TEST_SUITE(a_part_of_prompts_that_crashes_each_endpoint, Fixture)

BOOST_AUTO_TEST_CASE(is_sent_to_no_endpoint_by_any_gateway_while_sound_requests_with_its_other_parts_go_on)
{
    fleet_->sendCrashingParts(150ms);
    fleet_->runFor(9000ms);
    checkLateCrashes();
    BOOST_TEST(fleet_->answersWith(503) > 0);
    BOOST_TEST(fleet_->ledger().violations().empty());
    BOOST_TEST(fleet_->soundSuccessRateSince(std::chrono::steady_clock::now() - 3s) > 0.9);
}

BOOST_AUTO_TEST_CASE(is_still_known_after_all_gateways_were_killed)
{
    fleet_->sendCrashingParts(150ms);
    fleet_->runFor(6000ms);
    fleet_->killGateways();
    const auto killedAt = std::chrono::steady_clock::now();
    fleet_->runFor(4000ms);
    BOOST_TEST(fleet_->crashesAfter(killedAt) <= MaxLateSendings);
    BOOST_TEST(fleet_->soundSuccessRateSince(std::chrono::steady_clock::now() - 2s) > 0.9);
}

BOOST_AUTO_TEST_SUITE_END()

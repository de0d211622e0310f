#include <boost/test/unit_test.hpp>

#include <map>
#include <optional>
#include <vector>

#include "core/errorcode.h"
#include "duty/windowcountsreporter.h"
#include "duty/windowcountswriter.h"
#include "mapstore.h"

using namespace cowsliphead;

namespace
{

/// Keeps what is reported to it. Models DutyPlatform.
struct Platform {
    void reportUsage(const WindowCounts &counts, FencingNumber /*fence*/, const std::function<void(Result<void>)> &reply)
    {
        reported_.push_back(counts);
        reply(answer_);
    }

    void orderServers(const ServerOrder & /*order*/, FencingNumber /*fence*/, const std::function<void(Result<void>)> & /*reply*/)
    {
    }

    std::vector<WindowCounts> reported_;
    Result<void> answer_;
};

struct World {
    MapStore store_;
    Platform platform_;
    bool isRefused_ = false;
    std::optional<FencingNumber> fence_ = 3;
    WindowCountsWriter<MapStore> first_{ store_, InstanceId("first") };
    WindowCountsWriter<MapStore> second_{ store_, InstanceId("second") };
    WindowCountsReporter<MapStore, Platform> reporter_{ store_, platform_, [this] { return fence_; }, [this] { isRefused_ = true; } };

    void count(WindowCountsWriter<MapStore> &writer, int requests)
    {
        for (int request = 0; request < requests; ++request) {
            writer.count(AccountId("press"), 7);
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(the_report_of_a_window)

BOOST_AUTO_TEST_CASE(sums_what_all_gateways_counted)
{
    World world;
    world.count(world.first_, 2);
    world.count(world.second_, 3);
    world.first_.flush(8);
    world.second_.flush(8);
    world.reporter_.report(7, 2);
    BOOST_REQUIRE(world.platform_.reported_.size() == 1U);
    BOOST_TEST(world.platform_.reported_[0].requests_.at(AccountId("press")) == 5U);
}

BOOST_AUTO_TEST_SUITE(while_a_gateways_final_counts_are_missing)

BOOST_AUTO_TEST_CASE(waits_and_then_reports_what_there_is)
{
    World world;
    world.count(world.first_, 2);
    world.count(world.second_, 3);
    world.first_.flush(8);
    world.second_.flush(7);
    world.reporter_.report(7, 2);
    BOOST_TEST(world.platform_.reported_.empty());
    world.reporter_.report(7, 0);
    BOOST_TEST(world.platform_.reported_[0].requests_.at(AccountId("press")) == 5U);
}

BOOST_AUTO_TEST_CASE(counts_that_the_store_did_not_take_are_written_later)
{
    World world;
    world.store_.isReachable_ = false;
    world.count(world.first_, 2);
    world.first_.flush(8);
    world.store_.isReachable_ = true;
    world.first_.flush(8);
    world.reporter_.report(7, 1);
    BOOST_TEST(world.platform_.reported_[0].requests_.at(AccountId("press")) == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(bears_the_same_figures_whoever_sends_it_again)
{
    World world;
    world.count(world.first_, 2);
    world.first_.flush(8);
    world.platform_.answer_ = failure(ErrorCode::PlatformUnavailable);
    world.reporter_.report(7, 0);
    world.count(world.second_, 9);
    world.second_.flush(8);
    WindowCountsReporter<MapStore, Platform> successor(
        world.store_, world.platform_, [] { return std::optional<FencingNumber>(4); }, [] {});
    successor.report(7, 0);
    BOOST_REQUIRE(world.platform_.reported_.size() == 2U);
    BOOST_TEST((world.platform_.reported_[0].requests_ == world.platform_.reported_[1].requests_));
}

BOOST_AUTO_TEST_CASE(is_not_made_of_a_window_before_the_systems_start)
{
    World world;
    world.reporter_.report(7, 0);
    BOOST_TEST(world.platform_.reported_.empty());
}

BOOST_AUTO_TEST_CASE(counts_a_gateway_that_stopped_within_the_window_as_complete)
{
    // Found on a grown site (namib-verse-grown trouble-3): during a rolling restart reports waited for processes that had ended.
    World world;
    world.count(world.first_, 2);
    world.first_.flush(7 + 1);
    world.reporter_.report(7, 1);
    BOOST_REQUIRE(world.platform_.reported_.size() == 1U);
    BOOST_TEST(world.platform_.reported_[0].requests_.at(AccountId("press")) == 2U);
}

BOOST_AUTO_TEST_CASE(clears_away_the_counts_of_windows_long_reported)
{
    World world;
    world.count(world.first_, 2);
    world.first_.flush(8);
    const auto key = usagecountkeys::countsOf(7, InstanceId("first"));
    world.reporter_.report(7, 0);
    BOOST_TEST(world.store_.holds(key));
    world.first_.count(AccountId("press"), 10);
    world.first_.flush(11);
    world.reporter_.report(10, 0);
    BOOST_TEST(!world.store_.holds(key));
}

BOOST_AUTO_TEST_CASE(is_not_sent_without_authority_and_a_refusal_ends_it)
{
    World world;
    world.count(world.first_, 1);
    world.first_.flush(8);
    world.fence_.reset();
    world.reporter_.report(7, 0);
    BOOST_TEST(world.platform_.reported_.empty());
    world.fence_ = 3;
    world.platform_.answer_ = failure(ErrorCode::PlatformRefused);
    world.reporter_.report(7, 0);
    BOOST_TEST(world.isRefused_);
}

BOOST_AUTO_TEST_SUITE_END()

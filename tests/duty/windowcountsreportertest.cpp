#include <boost/test/unit_test.hpp>

#include <map>
#include <optional>
#include <vector>

#include "core/errorcode.h"
#include "duty/ownwindowcounts.h"
#include "duty/windowcountsreporter.h"
#include "duty/windowcountswriter.h"
#include "mapstore.h"

using namespace cowsliphead;

namespace
{

/// Keeps the reported counts. Models DutyPlatform.
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

/// A gateway that writes its counts itself.
struct Gateway {
    Gateway(MapStore &store, const std::string &name)
        : own_(InstanceId(name))
        , writer_(store, InstanceId(name), [this](const CountsStored &counts) { own_.stored(counts.window_, counts.version_); })
    {
    }

    void count(const AccountId &account, UsageWindow window)
    {
        own_.count(account, window);
    }

    /// Writes what was counted until now, in the given window.
    void flush(UsageWindow current)
    {
        now_ += std::chrono::seconds(2);
        for (const auto &counts : own_.takeChanged(current, now_)) {
            writer_.add(counts);
        }
        writer_.flush(current);
    }

    OwnWindowCounts own_;
    WindowCountsWriter<MapStore> writer_;
    MonotonicTime now_{ std::chrono::hours(1) };
};

struct Fixture {
    MapStore store_;
    Platform platform_;
    bool isRefused_ = false;
    std::optional<FencingNumber> fence_ = 3;
    Gateway first_{ store_, "first" };
    Gateway second_{ store_, "second" };
    WindowCountsReporter<MapStore, Platform> reporter_{ store_, platform_, [this] { return fence_; }, [this] { isRefused_ = true; } };

    static void count(Gateway &gateway, int requests)
    {
        for (int request = 0; request < requests; ++request) {
            gateway.count(AccountId("press"), 7);
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(the_report_of_a_window)

BOOST_AUTO_TEST_CASE(sums_what_all_gateways_counted)
{
    Fixture fixture;
    fixture.count(fixture.first_, 2);
    fixture.count(fixture.second_, 3);
    fixture.first_.flush(8);
    fixture.second_.flush(8);
    fixture.reporter_.report(7, 2);
    BOOST_REQUIRE(fixture.platform_.reported_.size() == 1U);
    BOOST_TEST(fixture.platform_.reported_[0].requests_.at(AccountId("press")) == 5U);
}

BOOST_AUTO_TEST_SUITE(while_a_gateways_final_counts_are_missing)

BOOST_AUTO_TEST_CASE(waits_and_then_reports_what_there_is)
{
    Fixture fixture;
    fixture.count(fixture.first_, 2);
    fixture.count(fixture.second_, 3);
    fixture.first_.flush(8);
    fixture.second_.flush(7);
    fixture.reporter_.report(7, 2);
    BOOST_TEST(fixture.platform_.reported_.empty());
    fixture.reporter_.report(7, 0);
    BOOST_TEST(fixture.platform_.reported_[0].requests_.at(AccountId("press")) == 5U);
}

BOOST_AUTO_TEST_CASE(includes_counts_that_the_store_accepted_only_later)
{
    Fixture fixture;
    fixture.store_.isReachable_ = false;
    fixture.count(fixture.first_, 2);
    fixture.first_.flush(8);
    fixture.store_.isReachable_ = true;
    fixture.first_.flush(8);
    fixture.reporter_.report(7, 1);
    BOOST_TEST(fixture.platform_.reported_[0].requests_.at(AccountId("press")) == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(has_the_same_figures_whichever_process_sends_it_again)
{
    Fixture fixture;
    fixture.count(fixture.first_, 2);
    fixture.first_.flush(8);
    fixture.platform_.answer_ = failure(ErrorCode::PlatformUnavailable);
    fixture.reporter_.report(7, 0);
    fixture.count(fixture.second_, 9);
    fixture.second_.flush(8);
    WindowCountsReporter<MapStore, Platform> successor(
        fixture.store_, fixture.platform_, [] { return std::optional<FencingNumber>(4); }, [] {});
    successor.report(7, 0);
    BOOST_REQUIRE(fixture.platform_.reported_.size() == 2U);
    BOOST_TEST((fixture.platform_.reported_[0].requests_ == fixture.platform_.reported_[1].requests_));
}

BOOST_AUTO_TEST_CASE(is_not_sent_for_a_window_before_the_systems_start)
{
    Fixture fixture;
    fixture.reporter_.report(7, 0);
    BOOST_TEST(fixture.platform_.reported_.empty());
}

BOOST_AUTO_TEST_CASE(counts_a_gateway_that_stopped_within_the_window_as_complete)
{
    // Guards against reports that wait during a rolling restart for the counts of processes that have ended (namib-verse-grown, day
    // trouble-3).
    Fixture fixture;
    fixture.count(fixture.first_, 2);
    fixture.first_.flush(7 + 1);
    fixture.reporter_.report(7, 1);
    BOOST_REQUIRE(fixture.platform_.reported_.size() == 1U);
    BOOST_TEST(fixture.platform_.reported_[0].requests_.at(AccountId("press")) == 2U);
}

BOOST_AUTO_TEST_CASE(erases_the_counts_of_windows_reported_long_ago)
{
    Fixture fixture;
    fixture.count(fixture.first_, 2);
    fixture.first_.flush(8);
    const auto key = usagecountkeys::countsKey(7, InstanceId("first"));
    fixture.reporter_.report(7, 0);
    BOOST_TEST(fixture.store_.holds(key));
    fixture.first_.count(AccountId("press"), 10);
    fixture.first_.flush(11);
    fixture.reporter_.report(10, 0);
    BOOST_TEST(!fixture.store_.holds(key));
}

BOOST_AUTO_TEST_CASE(is_not_sent_without_a_fencing_number_and_passes_a_refusal_on)
{
    Fixture fixture;
    fixture.count(fixture.first_, 1);
    fixture.first_.flush(8);
    fixture.fence_.reset();
    fixture.reporter_.report(7, 0);
    BOOST_TEST(fixture.platform_.reported_.empty());
    fixture.fence_ = 3;
    fixture.platform_.answer_ = failure(ErrorCode::PlatformRefused);
    fixture.reporter_.report(7, 0);
    BOOST_TEST(fixture.isRefused_);
}

BOOST_AUTO_TEST_SUITE_END()

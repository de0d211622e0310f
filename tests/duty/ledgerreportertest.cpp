#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <map>
#include <memory>
#include <tuple>
#include <vector>

#include "duty/simulateddaemon.h"

using namespace cowsliphead;

namespace
{

constexpr int DaemonCount = 3;
constexpr int ActionKinds = 11;

/// One step of a random history; amount_ is a parameter whose meaning depends on the kind.
struct Action {
    int kind_ = 0;
    int daemon_ = 0;
    int amount_ = 0;
};

std::ostream &operator<<(std::ostream &stream, const Action &action)
{
    return stream << "{" << action.kind_ << ", " << action.daemon_ << ", " << action.amount_ << "}";
}

/// The least and the most usage that may be billed.
struct Bounds {
    UsageSums min_;
    UsageSums max_;
};

class Fleet
{
public:
    Fleet()
    {
        for (int number = 0; number < DaemonCount; ++number) {
            daemons_.push_back(makeDaemon(number));
        }
    }

    void apply(const Action &action)
    {
        auto &daemon = *daemons_[action.daemon_];
        switch (action.kind_) {
        case 0:
        case 1:
        case 2:
            daemon.count(subject(action.amount_), { 1, 0, static_cast<std::uint64_t>(action.amount_), 1 });
            break;
        case 3:
            daemon.recordLastAgain();
            break;
        case 4:
            daemon.setPaused(true);
            break;
        case 5:
            daemon.setPaused(false);
            break;
        case 6:
            kill(action.daemon_);
            break;
        case 7:
            daemon.store().setFault(static_cast<StandinFault>(action.amount_ % 4));
            break;
        case 8:
            daemon.store().releaseDelayedWrites();
            break;
        case 9:
            platform_.setFault(action.amount_ % 3 == 1, action.amount_ % 3 == 2);
            break;
        default:
            runFor(std::chrono::milliseconds(500) * action.amount_);
        }
    }

    void runFor(std::chrono::milliseconds duration)
    {
        for (std::chrono::milliseconds passed{ 0 }; passed < duration; passed += Step) {
            clock_.advance(Step);
            platform_.receiveArrivals();
            for (const auto &daemon : daemons_) {
                daemon->run();
            }
        }
    }

    void clearFaults()
    {
        platform_.setFault(false, false);
        for (const auto &daemon : daemons_) {
            daemon->setPaused(false);
            daemon->store().setFault(StandinFault::None);
            daemon->store().releaseDelayedWrites();
        }
        runFor(6 * SimulatedDaemon::WindowLength);
    }

    /// Returns the bounds including the running daemons' usage. Precondition: clearFaults() was called last.
    Bounds bounds() const
    {
        auto bounds = killedBounds_;
        for (const auto &daemon : daemons_) {
            addUsage(bounds.max_, daemon->counted());
            addUsage(bounds.min_, usageDifference(daemon->counted(), daemon->writer().abandoned()));
        }
        return bounds;
    }

    const std::vector<UsageReport> &submissions() const
    {
        return platform_.received();
    }

    SimulatedDaemon &daemon(int number)
    {
        return *daemons_[number];
    }

    int holder() const
    {
        for (int number = 0; number < DaemonCount; ++number) {
            if (daemons_[number]->reporter().lease().mayAct()) {
                return number;
            }
        }
        return -1;
    }

    void kill(int number)
    {
        auto &daemon = *daemons_[number];
        addUsage(killedBounds_.max_, daemon.counted());
        addUsage(killedBounds_.min_, storedUsage(number));
        ++incarnations_[number];
        daemons_[number] = makeDaemon(number);
    }

    static UsageSubject subject(int amount)
    {
        return { AccountId("account" + std::to_string(amount % 3)), ModelId("small") };
    }

    SimulatedPlatform &platform()
    {
        return platform_;
    }

private:
    static constexpr std::chrono::milliseconds Step{ 500 };

    std::string incarnation(int number) const
    {
        const auto found = incarnations_.find(number);
        return "daemon" + std::to_string(number) + "-" + std::to_string(found == incarnations_.end() ? 0 : found->second);
    }

    std::unique_ptr<SimulatedDaemon> makeDaemon(int number)
    {
        return std::make_unique<SimulatedDaemon>(store_, clock_, platform_, incarnation(number), number);
    }

    /// Returns the usage in the daemon's counters that the store still has; counters of older generations may have been erased.
    UsageSums storedUsage(int number)
    {
        UsageSums stored;
        for (const auto &entry : store_.list(usagekeys::counterPrefix(0) + incarnation(number) + ".", {}, 100, clock_.now())) {
            addUsage(stored, usagecodec::decodeCounter(entry.value_)->total_);
        }
        return stored;
    }

    VirtualClock clock_;
    MemoryStore store_;
    SimulatedPlatform platform_{ clock_ };
    std::vector<std::unique_ptr<SimulatedDaemon>> daemons_;
    std::map<int, int> incarnations_;
    Bounds killedBounds_;
};

using ReportKey = std::pair<AccountId, UsageWindow>;

/// Returns the figures by account and window; fails if two reports for the same account and window differ.
std::map<ReportKey, std::map<ModelId, UsageFigures>> billedFigures(const std::vector<UsageReport> &submissions)
{
    std::map<ReportKey, std::map<ModelId, UsageFigures>> bills;
    for (const auto &report : submissions) {
        const auto [bill, isNew] = bills.try_emplace(ReportKey(report.account_, report.window_), report.models_);
        RC_ASSERT(bill->second == report.models_);
    }
    return bills;
}

UsageSums sumOfReports(const std::vector<UsageReport> &submissions)
{
    UsageSums sums;
    for (const auto &[key, models] : billedFigures(submissions)) {
        for (const auto &[model, figures] : models) {
            sums[{ key.first, model }] += figures;
        }
    }
    return sums;
}

void requireWithin(const UsageSums &sums, const Bounds &bounds)
{
    RC_ASSERT(usageDifference(sums, bounds.max_) == UsageSums());
    RC_ASSERT(usageDifference(bounds.min_, sums) == UsageSums());
}

void requireFencingNeverFalls(const std::vector<UsageReport> &submissions)
{
    FencingNumber newest = 0;
    for (const auto &report : submissions) {
        RC_ASSERT(report.fencing_ >= newest);
        newest = report.fencing_;
    }
}

auto anyHistory()
{
    const auto action = rc::gen::construct<Action>(rc::gen::inRange(0, ActionKinds), rc::gen::inRange(0, DaemonCount), rc::gen::inRange(1, 60));
    return rc::gen::container<std::vector<Action>>(action);
}

struct Fixture {
    /// Lets a daemon acquire the duty, and counts usage that is sealed but not confirmed by the platform. Returns the duty's holder.
    int sealUnreportedUsage()
    {
        fleet_.runFor(std::chrono::seconds(20));
        fleet_.platform().setFault(true, false);
        fleet_.daemon(0).count(Fleet::subject(0), { 1, 0, 10, 20 });
        fleet_.runFor(std::chrono::seconds(20));
        return fleet_.holder();
    }

    void requireExactUsage()
    {
        fleet_.clearFaults();
        BOOST_TEST((sumOfReports(fleet_.submissions()) == fleet_.bounds().max_));
    }

    Fleet fleet_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(usage_reports)

BOOST_FIXTURE_TEST_SUITE(when_the_reporter_is_killed_between_seal_and_report, Fixture)

BOOST_AUTO_TEST_CASE(are_sent_by_its_successor)
{
    fleet_.kill(sealUnreportedUsage());
    requireExactUsage();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(when_the_reporter_is_paused_past_its_lease, Fixture)

BOOST_AUTO_TEST_CASE(come_from_its_successor_alone)
{
    const auto former = sealUnreportedUsage();
    fleet_.daemon(former).setPaused(true);
    fleet_.runFor(std::chrono::seconds(30));
    BOOST_TEST(fleet_.holder() != former);
    fleet_.daemon(former).setPaused(false);
    requireExactUsage();
    requireFencingNeverFalls(fleet_.submissions());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(when_the_platforms_answer_is_lost, Fixture)

BOOST_AUTO_TEST_CASE(are_sent_again_with_the_same_figures)
{
    fleet_.platform().setFault(false, true);
    fleet_.daemon(1).count(Fleet::subject(1), { 1, 1, 10, 20 });
    fleet_.runFor(std::chrono::seconds(40));
    BOOST_TEST(fleet_.submissions().size() > 1);
    requireExactUsage();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(when_usage_comes_after_the_seal, Fixture)

BOOST_AUTO_TEST_CASE(include_it_in_the_next_window)
{
    fleet_.daemon(0).count(Fleet::subject(0), { 1, 0, 10, 20 });
    fleet_.daemon(0).setPaused(true);
    fleet_.runFor(std::chrono::seconds(60));
    BOOST_TEST(fleet_.submissions().empty());
    requireExactUsage();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(when_a_daemon_is_killed_after_an_answer, Fixture)

BOOST_AUTO_TEST_CASE(include_what_it_had_written)
{
    fleet_.daemon(0).count(Fleet::subject(0), { 1, 0, 10, 20 });
    fleet_.runFor(std::chrono::seconds(2));
    fleet_.kill(0);
    requireExactUsage();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(when_the_counter_of_an_idle_daemon_is_frozen, Fixture)

BOOST_AUTO_TEST_CASE(include_what_it_counts_afterwards_once)
{
    fleet_.daemon(0).count(Fleet::subject(0), { 1, 0, 10, 20 });
    fleet_.runFor(std::chrono::seconds(60));
    fleet_.daemon(0).count(Fleet::subject(0), { 1, 0, 30, 40 });
    requireExactUsage();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(when_a_daemon_receives_no_answer_until_its_counter_is_erased, Fixture)

BOOST_AUTO_TEST_CASE(include_what_it_counts_afterwards_once)
{
    fleet_.daemon(1).store().setFault(StandinFault::LoseAnswers);
    fleet_.daemon(1).count(Fleet::subject(0), { 1, 0, 10, 20 });
    fleet_.runFor(std::chrono::seconds(50));
    fleet_.daemon(1).count(Fleet::subject(0), { 1, 0, 30, 40 });
    fleet_.runFor(std::chrono::seconds(120));
    requireExactUsage();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(under_any_history_of_failures)

RC_BOOST_PROP(bill_all_usage_once_and_no_window_twice_with_different_figures, ())
{
    const auto history = *anyHistory();
    Fleet fleet;
    for (const auto &action : history) {
        fleet.apply(action);
    }
    fleet.clearFaults();
    requireWithin(sumOfReports(fleet.submissions()), fleet.bounds());
    requireFencingNeverFalls(fleet.submissions());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

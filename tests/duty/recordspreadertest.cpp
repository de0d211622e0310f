#include <string>
#include <tuple>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "records/recordset.h"
#include "spreadworld.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

/// The promise of the developers' page.
constexpr std::chrono::milliseconds InForceBound{ 6000 };
constexpr std::chrono::milliseconds SettleTime{ 15000 };
constexpr std::uint64_t Seed = 7;

std::optional<std::size_t> relayOf(const SpreadWorld &world)
{
    for (std::size_t index = 0; index < world.daemons_.size(); ++index) {
        if (world.daemons_[index].spreader_ && world.daemons_[index].spreader_->isRelay()) {
            return index;
        }
    }
    return std::nullopt;
}

struct Settled {
    explicit Settled(std::size_t count = 30)
        : world_(count, Seed)
    {
        world_.writeNow("first");
        world_.run(SettleTime);
    }

    SpreadWorld world_;
};

struct SettledThirty : Settled {
};

/// What happens, to whom, and how long the story waits afterwards.
using Scene = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;

/// In steps of 100 ms.
constexpr int MaxWaitSteps = 40;

/// One fault or event of a random story.
void disturb(SpreadWorld &world, std::uint8_t what, std::uint8_t whom)
{
    const std::size_t index = whom % world.daemons_.size();
    auto &daemon = world.daemons_[index];
    switch (what % 9) {
    case 0:
        world.kill(index);
        break;
    case 1:
        world.start(index);
        break;
    case 2:
        daemon.path_.isPaused_ = daemon.spreader_ != nullptr;
        break;
    case 3:
        daemon.path_.isPaused_ = false;
        break;
    case 4:
        daemon.isCut_ = !daemon.isCut_;
        break;
    case 5:
        world.isStoreDown_ = !world.isStoreDown_;
        break;
    case 6:
        world.lossPercent_ = whom % 60;
        break;
    case 7:
        daemon.path_.losesWriteAnswers_ = !daemon.path_.losesWriteAnswers_;
        break;
    default:
        world.operatorPath_.losesWriteAnswers_ = !world.operatorPath_.losesWriteAnswers_;
    }
}

void heal(SpreadWorld &world)
{
    world.isStoreDown_ = false;
    world.lossPercent_ = 0;
    world.operatorPath_.losesWriteAnswers_ = false;
    for (std::size_t index = 0; index < world.daemons_.size(); ++index) {
        auto &daemon = world.daemons_[index];
        daemon.isCut_ = false;
        daemon.path_.isPaused_ = false;
        daemon.path_.losesWriteAnswers_ = false;
        if (!daemon.spreader_) {
            world.start(index);
        }
    }
}

/// A change of which the operator knows at a time that it is accepted.
struct Accepted {
    Revision revision_ = 0;
    MonotonicTime knownAt_;
};

/// A record so long that a few of them do not fit into one answer.
std::string longText(const std::string &account)
{
    constexpr std::size_t Length = 14000;
    return R"({"schema": 2, "kind": "account", "name": ")" + account + R"(", "models": [")" + std::string(Length, 'm') + "\"]}";
}

/// What the store's log says up to the revision.
RecordSnapshot recordsOfLog(SpreadWorld &world, Revision revision)
{
    RecordLog log;
    while (log.revision() < revision) {
        const auto entry = world.memory_.read(recordLogKey(log.revision() + 1), world.clock_.now());
        log.apply(*decodeChange(log.revision() + 1, entry->value_));
    }
    return log.snapshot();
}

std::vector<std::string> textsOf(const RecordSet &records)
{
    std::vector<std::string> texts;
    for (const auto &[key, record] : records.all()) {
        texts.push_back(record->text_);
    }
    return texts;
}

/// No revision goes back, and whoever is confirmed as of a time holds all that was accepted before it.
void checkDaemons(const SpreadWorld &world, const std::vector<Accepted> &accepted)
{
    for (const auto &daemon : world.daemons_) {
        RC_ASSERT(!daemon.hasReverted_);
        for (const auto &change : accepted) {
            const bool mustHold = daemon.spreader_ && change.knownAt_ <= daemon.confirmedAt_;
            RC_ASSERT(!mustHold || daemon.snapshot_->revision() >= change.revision_);
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(an_accepted_change)

BOOST_FIXTURE_TEST_SUITE(while_all_is_well, SettledThirty)

BOOST_AUTO_TEST_CASE(is_soon_in_force_everywhere)
{
    BOOST_TEST(world_.timeUntilAllHold(world_.writeNow("press"), InForceBound).has_value());
}

BOOST_AUTO_TEST_CASE(costs_the_store_calls_of_two_relays_a_failure_domain_only)
{
    BOOST_TEST(world_.relayCount() == 2 * SpreadWorld::DomainCount);
    const auto before = world_.storeCalls_;
    world_.run(10s);
    constexpr std::uint64_t MostCallsOfRelayAndSecond = 5;
    BOOST_TEST(world_.storeCalls_ - before < MostCallsOfRelayAndSecond * 10 * 2 * SpreadWorld::DomainCount);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(whose_relay_fails, SettledThirty)

BOOST_AUTO_TEST_CASE(by_a_kill_is_in_force_in_time)
{
    const auto revision = world_.writeNow("press");
    world_.kill(*relayOf(world_));
    BOOST_TEST(world_.timeUntilAllHold(revision, InForceBound).has_value());
}

BOOST_AUTO_TEST_CASE(by_a_pause_is_in_force_in_time)
{
    const auto revision = world_.writeNow("press");
    world_.daemons_[*relayOf(world_)].path_.isPaused_ = true;
    BOOST_TEST(world_.timeUntilAllHold(revision, InForceBound).has_value());
}

BOOST_AUTO_TEST_CASE(with_the_second_one_of_its_domain_is_in_force_in_time)
{
    for (std::size_t index = 0; index < world_.daemons_.size(); index += SpreadWorld::DomainCount) {
        if (world_.daemons_[index].spreader_->isRelay()) {
            world_.kill(index);
        }
    }
    BOOST_TEST(world_.timeUntilAllHold(world_.writeNow("press"), InForceBound).has_value());
    world_.run(SettleTime);
    BOOST_TEST(world_.relayCount() == 2 * SpreadWorld::DomainCount);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(while_the_store_is_down, SettledThirty)

BOOST_AUTO_TEST_CASE(reaches_a_new_daemon_from_its_peers)
{
    world_.isStoreDown_ = true;
    world_.run(1s);
    world_.start(3);
    world_.run(3s);
    BOOST_TEST(world_.daemons_[3].snapshot_->account(AccountId("first")) != nullptr);
}

BOOST_AUTO_TEST_CASE(makes_the_records_older_and_older)
{
    const auto before = world_.daemons_[3].confirmedAt_;
    world_.isStoreDown_ = true;
    world_.run(30s);
    BOOST_TEST((world_.clock_.now() - world_.daemons_[3].confirmedAt_ > 29s));
    BOOST_TEST((world_.daemons_[3].confirmedAt_ - before < 5s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(under_any_story_of_faults)

RC_BOOST_PROP(is_never_taken_back_and_in_force_in_time_once_they_heal, ())
{
    constexpr int LongestStory = 25;
    const auto story = *rc::gen::resize(LongestStory, rc::gen::container<std::vector<Scene>>(rc::gen::resize(100, rc::gen::arbitrary<Scene>())));
    SpreadWorld world(10, *rc::gen::arbitrary<std::uint64_t>());
    std::vector<Accepted> accepted;
    std::uint64_t written = 0;
    for (const auto &[what, whom, wait] : story) {
        Change change;
        change.changeId_ = ChangeId(std::to_string(++written));
        change.key_ = RecordKey{ "account", "a" + std::to_string(whom % 4) };
        change.action_ = wait % 2 == 0 ? ChangeAction::Put : ChangeAction::Withdraw;
        change.text_ = change.action_ == ChangeAction::Put ? longText(change.key_.name_) : "";
        world.write(change, [&](const Result<Revision> &revision) {
            if (revision) {
                accepted.push_back({ *revision, world.clock_.now() });
            }
        });
        disturb(world, what, whom);
        for (int step = 0; step < wait % MaxWaitSteps; ++step) {
            world.run(100ms);
            checkDaemons(world, accepted);
        }
    }
    heal(world);
    const auto last = world.writeNow("last");
    RC_ASSERT(world.timeUntilAllHold(last, InForceBound).has_value());
    checkDaemons(world, accepted);
    for (const auto &daemon : world.daemons_) {
        RC_ASSERT(textsOf(*daemon.snapshot_) == textsOf(*recordsOfLog(world, daemon.snapshot_->revision())));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(in_a_fleet)

BOOST_AUTO_TEST_CASE(of_any_size_is_in_force_in_time_though_a_relay_is_killed)
{
    for (const std::size_t count : { std::size_t(3), std::size_t(30), std::size_t(100), std::size_t(340) }) {
        Settled settled(count);
        auto &world = settled.world_;
        world.run(SettleTime);
        const auto calls = world.storeCalls_;
        std::uint64_t busiest = 0;
        std::vector<std::uint64_t> before;
        for (const auto &daemon : world.daemons_) {
            before.push_back(daemon.bytesSent_ + daemon.bytesReceived_);
        }
        world.run(10s);
        for (std::size_t index = 0; index < count; ++index) {
            busiest = std::max(busiest, world.daemons_[index].bytesSent_ + world.daemons_[index].bytesReceived_ - before[index]);
        }
        const auto callsOfTenSeconds = world.storeCalls_ - calls;
        const auto revision = world.writeNow("press");
        world.kill(*relayOf(world));
        const auto taken = world.timeUntilAllHold(revision, InForceBound);
        BOOST_TEST(taken.has_value());
        BOOST_TEST_MESSAGE(count << " daemons, virtual time: in force everywhere after " << taken.value_or(-1ms).count() << " ms, " << callsOfTenSeconds / 10
                                 << " store calls a second, " << busiest / 10 << " message bytes a second at the busiest daemon");
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

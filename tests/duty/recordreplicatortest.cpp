#include <string>
#include <tuple>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "records/recordset.h"
#include "replicationsimulation.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

/// Documented limit of the time from an accepted change until all reachable daemons have it.
constexpr std::chrono::milliseconds PropagationLimit{ 6000 };
constexpr std::chrono::milliseconds SettleTime{ 15000 };
constexpr std::uint64_t Seed = 7;

std::optional<std::size_t> relayOf(const ReplicationSimulation &simulation)
{
    for (std::size_t index = 0; index < simulation.daemons_.size(); ++index) {
        if (simulation.daemons_[index].replicator_ && simulation.daemons_[index].replicator_->isRelay()) {
            return index;
        }
    }
    return std::nullopt;
}

struct SettledFleet {
    explicit SettledFleet(std::size_t count = 30)
        : simulation_(count, Seed)
    {
        simulation_.writeNow("first");
        simulation_.run(SettleTime);
    }

    ReplicationSimulation simulation_;
};

struct SettledFleetOfThirty : SettledFleet {
};

/// One step of a random test: the kind of fault, the daemon concerned, and the time to wait afterwards in steps of 100 ms.
using FaultStep = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;

/// Limit of the waiting time of a step, in steps of 100 ms.
constexpr int MaxWaitSteps = 40;

/// Applies one fault or recovery.
void injectFault(ReplicationSimulation &simulation, std::uint8_t kind, std::uint8_t daemonNumber)
{
    const std::size_t index = daemonNumber % simulation.daemons_.size();
    auto &daemon = simulation.daemons_[index];
    switch (kind % 9) {
    case 0:
        simulation.kill(index);
        break;
    case 1:
        simulation.start(index);
        break;
    case 2:
        daemon.path_.isPaused_ = daemon.replicator_ != nullptr;
        break;
    case 3:
        daemon.path_.isPaused_ = false;
        break;
    case 4:
        daemon.isDisconnected_ = !daemon.isDisconnected_;
        break;
    case 5:
        simulation.isStoreDown_ = !simulation.isStoreDown_;
        break;
    case 6:
        simulation.lossPercent_ = daemonNumber % 60;
        break;
    case 7:
        daemon.path_.losesWriteAnswers_ = !daemon.path_.losesWriteAnswers_;
        break;
    default:
        simulation.operatorPath_.losesWriteAnswers_ = !simulation.operatorPath_.losesWriteAnswers_;
    }
}

void clearFaults(ReplicationSimulation &simulation)
{
    simulation.isStoreDown_ = false;
    simulation.lossPercent_ = 0;
    simulation.operatorPath_.losesWriteAnswers_ = false;
    for (std::size_t index = 0; index < simulation.daemons_.size(); ++index) {
        auto &daemon = simulation.daemons_[index];
        daemon.isDisconnected_ = false;
        daemon.path_.isPaused_ = false;
        daemon.path_.losesWriteAnswers_ = false;
        if (!daemon.replicator_) {
            simulation.start(index);
        }
    }
}

/// An accepted change, and when its operator received the revision.
struct AcceptedChange {
    Revision revision_ = 0;
    MonotonicTime acknowledgedAt_;
};

/// Returns a record so long that a few of them do not fit into one answer.
std::string longText(const std::string &account)
{
    constexpr std::size_t Length = 14000;
    return R"({"schema": 2, "kind": "account", "name": ")" + account + R"(", "models": [")" + std::string(Length, 'm') + "\"]}";
}

/// Rebuilds the records from the store's log up to the revision.
RecordSnapshot replayLog(ReplicationSimulation &simulation, Revision revision)
{
    RecordLog log;
    while (log.revision() < revision) {
        const auto entry = simulation.memory_.read(recordLogKey(log.revision() + 1), simulation.clock_.now());
        log.apply(*decodeChange(log.revision() + 1, entry->value_));
    }
    return log.snapshot();
}

std::vector<std::string> recordTexts(const RecordSet &records)
{
    std::vector<std::string> texts;
    for (const auto &[key, record] : records.all()) {
        texts.push_back(record->text_);
    }
    return texts;
}

/// Requires that no daemon's revision has decreased, and that a daemon whose records are confirmed as of a time has all changes accepted
/// before that time.
void requireConsistentDaemons(const ReplicationSimulation &simulation, const std::vector<AcceptedChange> &accepted)
{
    for (const auto &daemon : simulation.daemons_) {
        RC_ASSERT(!daemon.hasReverted_);
        for (const auto &change : accepted) {
            const bool mustHold = daemon.replicator_ && change.acknowledgedAt_ <= daemon.confirmedAt_;
            RC_ASSERT(!mustHold || daemon.snapshot_->revision() >= change.revision_);
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(an_accepted_change)

BOOST_FIXTURE_TEST_SUITE(without_faults, SettledFleetOfThirty)

BOOST_AUTO_TEST_CASE(reaches_all_daemons_in_time)
{
    BOOST_TEST(simulation_.timeUntilAllHave(simulation_.writeNow("press"), PropagationLimit).has_value());
}

BOOST_AUTO_TEST_CASE(takes_the_store_calls_of_two_relays_per_failure_domain_only)
{
    BOOST_TEST(simulation_.relayCount() == 2 * ReplicationSimulation::DomainCount);
    const auto before = simulation_.storeCalls_;
    simulation_.run(10s);
    constexpr std::uint64_t MaxCallsPerRelayAndSecond = 5;
    BOOST_TEST(simulation_.storeCalls_ - before < MaxCallsPerRelayAndSecond * 10 * 2 * ReplicationSimulation::DomainCount);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(whose_relay_fails, SettledFleetOfThirty)

BOOST_AUTO_TEST_CASE(by_a_kill_reaches_all_daemons_in_time)
{
    const auto revision = simulation_.writeNow("press");
    simulation_.kill(*relayOf(simulation_));
    BOOST_TEST(simulation_.timeUntilAllHave(revision, PropagationLimit).has_value());
}

BOOST_AUTO_TEST_CASE(by_a_pause_reaches_all_daemons_in_time)
{
    const auto revision = simulation_.writeNow("press");
    simulation_.daemons_[*relayOf(simulation_)].path_.isPaused_ = true;
    BOOST_TEST(simulation_.timeUntilAllHave(revision, PropagationLimit).has_value());
}

BOOST_AUTO_TEST_CASE(with_the_second_one_of_its_domain_reaches_all_daemons_in_time)
{
    for (std::size_t index = 0; index < simulation_.daemons_.size(); index += ReplicationSimulation::DomainCount) {
        if (simulation_.daemons_[index].replicator_->isRelay()) {
            simulation_.kill(index);
        }
    }
    BOOST_TEST(simulation_.timeUntilAllHave(simulation_.writeNow("press"), PropagationLimit).has_value());
    simulation_.run(SettleTime);
    BOOST_TEST(simulation_.relayCount() == 2 * ReplicationSimulation::DomainCount);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(while_the_store_is_down, SettledFleetOfThirty)

BOOST_AUTO_TEST_CASE(reaches_a_new_daemon_from_its_peers)
{
    simulation_.isStoreDown_ = true;
    simulation_.run(1s);
    simulation_.start(3);
    simulation_.run(3s);
    BOOST_TEST(simulation_.daemons_[3].snapshot_->account(AccountId("first")) != nullptr);
}

BOOST_AUTO_TEST_CASE(does_not_advance_the_confirmation_time)
{
    const auto before = simulation_.daemons_[3].confirmedAt_;
    simulation_.isStoreDown_ = true;
    simulation_.run(30s);
    BOOST_TEST((simulation_.clock_.now() - simulation_.daemons_[3].confirmedAt_ > 29s));
    BOOST_TEST((simulation_.daemons_[3].confirmedAt_ - before < 5s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(under_any_sequence_of_faults)

RC_BOOST_PROP(is_never_reverted_and_reaches_all_daemons_in_time_once_they_are_cleared, ())
{
    constexpr int MaxSteps = 25;
    const auto steps = *rc::gen::resize(MaxSteps, rc::gen::container<std::vector<FaultStep>>(rc::gen::resize(100, rc::gen::arbitrary<FaultStep>())));
    ReplicationSimulation simulation(10, *rc::gen::arbitrary<std::uint64_t>());
    std::vector<AcceptedChange> accepted;
    std::uint64_t written = 0;
    for (const auto &[kind, daemonNumber, wait] : steps) {
        Change change;
        change.changeId_ = ChangeId(std::to_string(++written));
        change.key_ = RecordKey{ "account", "a" + std::to_string(daemonNumber % 4) };
        change.action_ = wait % 2 == 0 ? ChangeAction::Put : ChangeAction::Withdraw;
        change.text_ = change.action_ == ChangeAction::Put ? longText(change.key_.name_) : "";
        simulation.write(change, [&](const Result<Revision> &revision) {
            if (revision) {
                accepted.push_back({ *revision, simulation.clock_.now() });
            }
        });
        injectFault(simulation, kind, daemonNumber);
        for (int step = 0; step < wait % MaxWaitSteps; ++step) {
            simulation.run(100ms);
            requireConsistentDaemons(simulation, accepted);
        }
    }
    clearFaults(simulation);
    const auto last = simulation.writeNow("last");
    RC_ASSERT(simulation.timeUntilAllHave(last, PropagationLimit).has_value());
    requireConsistentDaemons(simulation, accepted);
    for (const auto &daemon : simulation.daemons_) {
        RC_ASSERT(recordTexts(*daemon.snapshot_) == recordTexts(*replayLog(simulation, daemon.snapshot_->revision())));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(in_a_fleet)

BOOST_AUTO_TEST_CASE(of_any_size_reaches_all_daemons_in_time_although_a_relay_is_killed)
{
    for (const std::size_t count : { std::size_t(3), std::size_t(30), std::size_t(100), std::size_t(340) }) {
        SettledFleet settled(count);
        auto &simulation = settled.simulation_;
        simulation.run(SettleTime);
        const auto calls = simulation.storeCalls_;
        std::uint64_t busiest = 0;
        std::vector<std::uint64_t> before;
        for (const auto &daemon : simulation.daemons_) {
            before.push_back(daemon.bytesSent_ + daemon.bytesReceived_);
        }
        simulation.run(10s);
        for (std::size_t index = 0; index < count; ++index) {
            busiest = std::max(busiest, simulation.daemons_[index].bytesSent_ + simulation.daemons_[index].bytesReceived_ - before[index]);
        }
        const auto callsOfTenSeconds = simulation.storeCalls_ - calls;
        const auto revision = simulation.writeNow("press");
        simulation.kill(*relayOf(simulation));
        const auto taken = simulation.timeUntilAllHave(revision, PropagationLimit);
        BOOST_TEST(taken.has_value());
        BOOST_TEST_MESSAGE(count << " daemons, virtual time: all have the change after " << taken.value_or(-1ms).count() << " ms, " << callsOfTenSeconds / 10
                                 << " store calls a second, " << busiest / 10 << " message bytes a second at the busiest daemon");
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

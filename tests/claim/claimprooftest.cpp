#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <cstdlib>
#include <random>

#include "claim/claimsimulation.h"

using namespace cowsliphead;

namespace
{

constexpr ClaimSafeguards AllSafeguards{};
constexpr ClaimSafeguards NoReadBack{ .readsBackLostWrites_ = false };
constexpr ClaimSafeguards NoConflictRetry{ .retriesOnConflict_ = false };
constexpr ClaimSafeguards NoReleaseTimeCheck{ .checksReleaseTime_ = false };
constexpr ClaimSafeguards NoDispatchLimit{ .limitsDispatchTime_ = false };

constexpr std::size_t CommandsPerSimulation = 300;

std::vector<ClaimCommand> randomCommands(std::uint32_t seed)
{
    std::mt19937 random(seed);
    std::vector<ClaimCommand> commands(CommandsPerSimulation);
    for (auto &command : commands) {
        command = { std::uint8_t(random()), std::uint8_t(random()), std::uint8_t(random()) };
    }
    return commands;
}

/// Returns the seed of the first simulation that violates the guarantee, or nothing if none does.
template <ClaimSafeguards Safeguards>
std::optional<std::uint32_t> firstViolatingSeed()
{
    constexpr std::uint32_t Simulations = 20'000;
    for (std::uint32_t seed = 0; seed < Simulations; ++seed) {
        if (const auto violation = ClaimSimulation<Safeguards>().simulate(randomCommands(seed))) {
            BOOST_TEST_MESSAGE("seed " << seed << ": " << *violation);
            return seed;
        }
    }
    return std::nullopt;
}

/// Runs the commands without the safeguard that COWSLIPHEAD_GUARD_OFF names, to show that the property test detects its absence.
std::optional<std::string> simulateWithSafeguards(const std::vector<ClaimCommand> &commands)
{
    const char *off = std::getenv("COWSLIPHEAD_GUARD_OFF");
    const std::string guard = off == nullptr ? "" : off;
    if (guard == "settling") {
        return ClaimSimulation<NoReadBack>().simulate(commands);
    }
    if (guard == "conflicts") {
        return ClaimSimulation<NoConflictRetry>().simulate(commands);
    }
    if (guard == "release-time") {
        return ClaimSimulation<NoReleaseTimeCheck>().simulate(commands);
    }
    if (guard == "dispatch-limit") {
        return ClaimSimulation<NoDispatchLimit>().simulate(commands);
    }
    return ClaimSimulation<AllSafeguards>().simulate(commands);
}

} // namespace

namespace rc
{

template <>
struct Arbitrary<ClaimCommand> {
    static Gen<ClaimCommand> arbitrary()
    {
        return gen::build<ClaimCommand>(
            gen::set(&ClaimCommand::kind_, gen::inRange<std::uint8_t>(0, 32)), gen::set(&ClaimCommand::first_), gen::set(&ClaimCommand::second_));
    }
};

} // namespace rc

BOOST_AUTO_TEST_SUITE(a_claimed_request)

BOOST_AUTO_TEST_SUITE(whatever_fails_in_whatever_order)

RC_BOOST_PROP(runs_at_most_once_and_not_at_all_if_reported_as_not_run, ())
{
    constexpr int SimulationsPerCase = 20;
    for (int i = 0; i < SimulationsPerCase; ++i) {
        const auto commands = *rc::gen::container<std::vector<ClaimCommand>>(CommandsPerSimulation, rc::gen::arbitrary<ClaimCommand>());
        RC_ASSERT(simulateWithSafeguards(commands).value_or("") == "");
    }
}

BOOST_AUTO_TEST_CASE(runs_at_most_once_in_many_more_simulations)
{
    BOOST_TEST(!firstViolatingSeed<AllSafeguards>().has_value());
}

BOOST_AUTO_TEST_CASE(runs_in_most_simulations)
{
    constexpr std::uint32_t Simulations = 100;
    std::size_t simulationsWithRuns = 0;
    for (std::uint32_t seed = 0; seed < Simulations; ++seed) {
        ClaimSimulation<AllSafeguards> simulation;
        simulation.simulate(randomCommands(seed));
        simulationsWithRuns += simulation.runCount() > 0 ? 1 : 0;
    }
    BOOST_TEST(simulationsWithRuns > Simulations / 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(violates_the_guarantee_without)

BOOST_AUTO_TEST_CASE(reading_back_lost_writes)
{
    BOOST_TEST(firstViolatingSeed<NoReadBack>().has_value());
}

BOOST_AUTO_TEST_CASE(retrying_on_conflicts)
{
    BOOST_TEST(firstViolatingSeed<NoConflictRetry>().has_value());
}

BOOST_AUTO_TEST_CASE(checking_the_time_of_a_release)
{
    BOOST_TEST(firstViolatingSeed<NoReleaseTimeCheck>().has_value());
}

BOOST_AUTO_TEST_CASE(limiting_the_dispatch_time)
{
    BOOST_TEST(firstViolatingSeed<NoDispatchLimit>().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

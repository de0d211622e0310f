#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <cstdlib>
#include <random>

#include "claim/claimworld.h"

using namespace cowsliphead;

namespace
{

constexpr ClaimSafeguards Whole{};
constexpr ClaimSafeguards NoSettling{ .readsBackLostWrites_ = false };
constexpr ClaimSafeguards NoConflicts{ .retriesOnConflict_ = false };
constexpr ClaimSafeguards NoReleaseTime{ .checksReleaseTime_ = false };
constexpr ClaimSafeguards NoDispatchLimit{ .limitsDispatchTime_ = false };

constexpr std::size_t CommandsPerWorld = 300;

std::vector<ClaimCommand> randomCommands(std::uint32_t seed)
{
    std::mt19937 random(seed);
    std::vector<ClaimCommand> commands(CommandsPerWorld);
    for (auto &command : commands) {
        command = { std::uint8_t(random()), std::uint8_t(random()), std::uint8_t(random()) };
    }
    return commands;
}

/// How many worlds it takes to see the promise broken; nothing if it holds in all.
template <ClaimSafeguards Guard>
std::optional<std::uint32_t> firstBrokenWorld()
{
    constexpr std::uint32_t Worlds = 20'000;
    for (std::uint32_t seed = 0; seed < Worlds; ++seed) {
        if (const auto violation = ClaimWorld<Guard>().play(randomCommands(seed))) {
            BOOST_TEST_MESSAGE("world " << seed << ": " << *violation);
            return seed;
        }
    }
    return std::nullopt;
}

/// The guard that the environment takes away, to see the proof fail.
std::optional<std::string> playGuarded(const std::vector<ClaimCommand> &commands)
{
    const char *off = std::getenv("COWSLIPHEAD_GUARD_OFF");
    const std::string guard = off == nullptr ? "" : off;
    if (guard == "settling") {
        return ClaimWorld<NoSettling>().play(commands);
    }
    if (guard == "conflicts") {
        return ClaimWorld<NoConflicts>().play(commands);
    }
    if (guard == "release-time") {
        return ClaimWorld<NoReleaseTime>().play(commands);
    }
    if (guard == "dispatch-limit") {
        return ClaimWorld<NoDispatchLimit>().play(commands);
    }
    return ClaimWorld<Whole>().play(commands);
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

RC_BOOST_PROP(runs_once_at_most_and_not_run_is_true, ())
{
    constexpr int WorldsPerCase = 20;
    for (int i = 0; i < WorldsPerCase; ++i) {
        const auto commands = *rc::gen::container<std::vector<ClaimCommand>>(CommandsPerWorld, rc::gen::arbitrary<ClaimCommand>());
        RC_ASSERT(playGuarded(commands).value_or("") == "");
    }
}

BOOST_AUTO_TEST_CASE(runs_once_at_most_in_many_more_worlds)
{
    BOOST_TEST(!firstBrokenWorld<Whole>().has_value());
}

BOOST_AUTO_TEST_CASE(does_run_in_most_worlds)
{
    constexpr std::uint32_t Worlds = 100;
    std::size_t worldsWithRuns = 0;
    for (std::uint32_t seed = 0; seed < Worlds; ++seed) {
        ClaimWorld<Whole> world;
        world.play(randomCommands(seed));
        worldsWithRuns += world.runCount() > 0 ? 1 : 0;
    }
    BOOST_TEST(worldsWithRuns > Worlds / 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(violates_the_guarantee_without)

BOOST_AUTO_TEST_CASE(settling_lost_writes)
{
    BOOST_TEST(firstBrokenWorld<NoSettling>().has_value());
}

BOOST_AUTO_TEST_CASE(heeding_conflicts)
{
    BOOST_TEST(firstBrokenWorld<NoConflicts>().has_value());
}

BOOST_AUTO_TEST_CASE(heeding_the_time_of_a_release)
{
    BOOST_TEST(firstBrokenWorld<NoReleaseTime>().has_value());
}

BOOST_AUTO_TEST_CASE(limiting_when_an_attempt_may_begin)
{
    BOOST_TEST(firstBrokenWorld<NoDispatchLimit>().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

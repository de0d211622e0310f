#include <map>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "core/virtualclock.h"
#include "decide/quarantine.h"

using namespace cowsliphead;

namespace
{

const RequestDigest Request("r");
const EndpointId First("e1");
const EndpointId Second("e2");
const EndpointId Third("e3");

constexpr int PoisonCount = 3;
constexpr int FirstNeighbour = 1000;
constexpr int NeighbourCount = 4;

RequestDigest digestOf(int number)
{
    return RequestDigest(std::to_string(number));
}

/// A fleet on which some requests crash whatever runs them, each time with some neighbours.
struct Fleet {
    VirtualClock clock_;
    Quarantine quarantine_;
    std::map<int, int> crashesOf_;
    int endpoint_ = 0;

    void run(int poison, const std::vector<std::uint8_t> &neighbours)
    {
        const auto quarantineStatus = quarantine_.quarantineStatus(digestOf(poison), clock_.now());
        if (quarantineStatus == QuarantineStatus::Quarantined) {
            return;
        }
        ++crashesOf_[poison];
        const EndpointId crashed("e" + std::to_string(++endpoint_));
        const bool isAlone = quarantineStatus == QuarantineStatus::Suspect;
        quarantine_.crashed(digestOf(poison), crashed, isAlone, clock_.now());
        for (const auto neighbour : neighbours) {
            if (!isAlone) {
                quarantine_.crashed(digestOf(FirstNeighbour + neighbour % NeighbourCount), crashed, false, clock_.now());
            }
        }
    }
};

struct Fixture {
    VirtualClock clock_;
    Quarantine quarantine_;

    QuarantineStatus quarantineStatus() const
    {
        return quarantine_.quarantineStatus(Request, clock_.now());
    }

    void makeSuspect()
    {
        quarantine_.crashed(Request, First, false, clock_.now());
        quarantine_.crashed(Request, Second, false, clock_.now());
    }

    void makeQuarantined()
    {
        makeSuspect();
        quarantine_.crashed(Request, Third, true, clock_.now());
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_request_in_flight_at_endpoint_crashes)

BOOST_FIXTURE_TEST_SUITE(once, Fixture)

BOOST_AUTO_TEST_CASE(is_trusted_though_its_connections_are_lost_twice)
{
    quarantine_.crashed(Request, First, false, clock_.now());
    quarantine_.crashed(Request, First, false, clock_.now());
    BOOST_TEST((quarantineStatus() == QuarantineStatus::Trusted));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(on_several_endpoints, Fixture)

BOOST_AUTO_TEST_CASE(is_a_suspect)
{
    makeSuspect();
    BOOST_TEST((quarantineStatus() == QuarantineStatus::Suspect));
}

BOOST_AUTO_TEST_CASE(is_cleared_by_a_whole_answer)
{
    makeSuspect();
    quarantine_.answered(Request);
    BOOST_TEST((quarantineStatus() == QuarantineStatus::Trusted));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(while_it_is_alone, Fixture)

BOOST_AUTO_TEST_CASE(is_quarantined_for_a_bounded_time)
{
    makeQuarantined();
    BOOST_TEST((quarantineStatus() == QuarantineStatus::Quarantined));
    clock_.advance(std::chrono::minutes(10));
    BOOST_TEST((quarantineStatus() == QuarantineStatus::Trusted));
}

BOOST_AUTO_TEST_CASE(is_quarantined_at_a_daemon_that_takes_in_the_snapshot)
{
    makeQuarantined();
    VirtualClock otherClock;
    otherClock.advance(std::chrono::hours(100));
    Quarantine other;
    other.merge(quarantine_.snapshot(clock_.now()), otherClock.now());
    BOOST_TEST((other.quarantineStatus(Request, otherClock.now()) == QuarantineStatus::Quarantined));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(among_any_neighbours)

RC_BOOST_PROP(is_quarantined_after_three_crashes_and_no_neighbour_is, (const std::vector<std::pair<std::uint8_t, std::vector<std::uint8_t>>> &runs))
{
    Fleet fleet;
    for (const auto &[poison, neighbours] : runs) {
        fleet.run(poison % PoisonCount, neighbours);
    }
    for (int poison = 0; poison < PoisonCount; ++poison) {
        const bool isQuarantined = fleet.quarantine_.quarantineStatus(digestOf(poison), fleet.clock_.now()) == QuarantineStatus::Quarantined;
        RC_ASSERT(fleet.crashesOf_[poison] <= 3);
        RC_ASSERT(isQuarantined == (fleet.crashesOf_[poison] == 3));
    }
    for (int neighbour = 0; neighbour < NeighbourCount; ++neighbour) {
        RC_ASSERT(fleet.quarantine_.quarantineStatus(digestOf(FirstNeighbour + neighbour), fleet.clock_.now()) != QuarantineStatus::Quarantined);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(in_greater_number_than_is_remembered)

BOOST_AUTO_TEST_CASE(does_not_push_out_one_that_is_quarantined)
{
    QuarantineLimits limits;
    limits.maxEntries_ = 8;
    VirtualClock clock;
    Quarantine quarantine(limits);
    quarantine.crashed(Request, First, false, clock.now());
    quarantine.crashed(Request, Second, false, clock.now());
    quarantine.crashed(Request, Third, true, clock.now());
    for (int number = 0; number < 100; ++number) {
        quarantine.crashed(digestOf(number), First, false, clock.now());
    }
    BOOST_TEST(quarantine.size() == 8U);
    BOOST_TEST((quarantine.quarantineStatus(Request, clock.now()) == QuarantineStatus::Quarantined));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

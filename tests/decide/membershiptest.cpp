#include <boost/test/unit_test.hpp>

#include "core/virtualclock.h"
#include "decide/membership.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

Member member(const std::string &instance, std::uint64_t incarnation, std::uint64_t heartbeat)
{
    Member member;
    member.instance_ = InstanceId(instance);
    member.incarnation_ = incarnation;
    member.heartbeat_ = heartbeat;
    return member;
}

struct Fixture {
    std::uint64_t heartbeatOf(const std::string &instance) const
    {
        return members_.others().at(InstanceId(instance)).member_.heartbeat_;
    }

    VirtualClock clock_;
    Membership members_{ member("self", 1, 0) };
};

} // namespace

BOOST_AUTO_TEST_SUITE(the_members)

BOOST_FIXTURE_TEST_SUITE(told_of_an_instance, Fixture)

BOOST_AUTO_TEST_CASE(keep_the_newest_heartbeat)
{
    members_.mergeMember(member("a", 1, 5), clock_.now());
    members_.mergeMember(member("a", 1, 4), clock_.now());
    BOOST_TEST(heartbeatOf("a") == 5U);
}

BOOST_AUTO_TEST_CASE(keep_the_newest_incarnation)
{
    members_.mergeMember(member("a", 2, 1), clock_.now());
    members_.mergeMember(member("a", 1, 900), clock_.now());
    BOOST_TEST(heartbeatOf("a") == 1U);
}

BOOST_AUTO_TEST_CASE(do_not_count_themselves)
{
    members_.mergeMember(member("self", 9, 9), clock_.now());
    BOOST_TEST(members_.others().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(with_a_paused_instance, Fixture)

BOOST_AUTO_TEST_CASE(do_not_flap)
{
    std::uint64_t heartbeat = 0;
    for (int pause = 0; pause < 20; ++pause) {
        members_.mergeMember(member("a", 1, ++heartbeat), clock_.now());
        clock_.advance(60s);
        members_.removeExpired(clock_.now());
        BOOST_TEST(members_.others().size() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(forget_it_once_it_is_silent_for_long)
{
    members_.mergeMember(member("a", 1, 1), clock_.now());
    clock_.advance(Membership::SilenceLimit + 1s);
    members_.mergeMember(member("a", 1, 1), clock_.now());
    members_.removeExpired(clock_.now());
    BOOST_TEST(members_.others().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(passed_on, Fixture)

BOOST_AUTO_TEST_CASE(take_turns_and_stay_within_the_count)
{
    for (const auto *name : { "a", "b", "c" }) {
        members_.mergeMember(member(name, 1, 1), clock_.now());
    }
    const auto first = members_.nextToGossip(2);
    const auto second = members_.nextToGossip(2);
    BOOST_REQUIRE(first.size() == 3U);
    BOOST_TEST(first.front().instance_.value() == "self");
    BOOST_TEST(second.at(1).instance_.value() == "c");
    BOOST_TEST(second.at(2).instance_.value() == "a");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

#include <boost/test/unit_test.hpp>

#include "relaytaskfleet.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

constexpr ServiceKey Service = 5;

/// Two gateways of one failure domain, the first of which is its relay, and one of another failure domain. All report.
struct TwoDomains : RelayTaskFleet {
    TwoDomains()
    {
        start("a1", "a");
        BOOST_REQUIRE(runUntil([this] { return gateway("a1").told_.grantedBy_ == InstanceId("a1"); }));
        start("a2", "a");
        start("b1", "b");
        gateway("a1").reported_.observations_ = { { 1, 4000, 100ms } };
        gateway("b1").reported_.observations_ = { { 2, 8000, 100ms } };
        for (const auto *name : { "a1", "a2", "b1" }) {
            gateway(name).reported_.failures_ = { { IncarnationKey(7), EndpointFailureKind::Unreachable, 1, 0ms } };
            gateway(name).reported_.retryPoolLimit_ = 10;
        }
    }

    /// The number of other gateways that a gateway knows to have seen the failure.
    std::uint32_t othersWithFailure(const char *name)
    {
        const auto &failures = gateway(name).told_.failures_;
        return failures.empty() ? 0 : failures.front().gateways_;
    }

    bool knowsEndpoints(const char *name, const std::vector<EndpointKey> &keys)
    {
        std::vector<EndpointKey> known;
        for (const auto &observation : gateway(name).told_.observations_) {
            known.push_back(observation.endpoint_);
        }
        return known == keys;
    }

    std::uint64_t grantsOf(const char *name)
    {
        const auto &grants = gateway(name).told_.retryGrants_;
        return grants.empty() ? 0 : grants.front().total_;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(relay_tasks_of_two_failure_domains, TwoDomains)

BOOST_AUTO_TEST_CASE(tell_each_gateway_what_all_others_know)
{
    // Guards against a gateway that is told its own sightings, and a relay that leaves its own gateway out.
    BOOST_TEST(runUntil([this] {
        return knowsEndpoints("a1", { 2 }) && knowsEndpoints("a2", { 1, 2 }) && knowsEndpoints("b1", { 1 }) && othersWithFailure("a1") == 2
            && othersWithFailure("a2") == 2 && othersWithFailure("b1") == 2;
    }));
}

BOOST_AUTO_TEST_CASE(grant_a_gateway_the_retries_that_another_one_left)
{
    gateway("a1").reported_.retryDeposits_ = { { Service, 0, false } };
    gateway("a2").reported_.retryDeposits_ = { { Service, 0, true } };
    std::uint64_t deposited = 0;
    // The pool opens once the relay knows the failure domains, about five seconds after its start.
    BOOST_TEST(runUntil([&] {
        gateway("a1").reported_.retryDeposits_ = { { Service, ++deposited, false } };
        return grantsOf("a2") >= 3;
    }));
    BOOST_TEST(gateway("a2").told_.grantedBy_.value() == "a1");
    BOOST_TEST(grantsOf("a1") == 0U);
}

BOOST_AUTO_TEST_SUITE(when_a_relay_is_lost)

BOOST_AUTO_TEST_CASE(share_their_knowledge_again_through_the_next_one)
{
    BOOST_REQUIRE(runUntil([this] { return knowsEndpoints("a2", { 1, 2 }) && othersWithFailure("b1") == 2; }));
    kill("a1");
    BOOST_TEST(runUntil([this] { return gateway("a2").told_.grantedBy_.value() == "a2" && knowsEndpoints("a2", { 2 }) && othersWithFailure("a2") == 1; }));
    BOOST_TEST(runUntil([this] { return othersWithFailure("b1") == 1; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_failure_domain_is_cut_off)

BOOST_AUTO_TEST_CASE(forget_its_failures_and_go_on_with_their_own)
{
    BOOST_REQUIRE(runUntil([this] { return othersWithFailure("a1") == 2; }));
    kill("b1");
    BOOST_TEST(runUntil([this] { return othersWithFailure("a1") == 1 && othersWithFailure("a2") == 1; }));
    BOOST_TEST(runUntil([this] { return knowsEndpoints("a1", { 2 }); }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

// Guards against a gateway that follows one of the version before, which does not notice that the store came back from a copy.
BOOST_FIXTURE_TEST_SUITE(a_relay_task_beside_a_relay_of_the_version_before, RelayTaskFleet)

BOOST_AUTO_TEST_CASE(reads_the_store_itself_if_the_store_tells_its_era)
{
    setEra(1);
    startOldRelay("old", "a");
    start("a1", "a");
    BOOST_TEST(runUntil([this] { return gateway("a1").told_.grantedBy_ == InstanceId("a1"); }));
}

BOOST_AUTO_TEST_CASE(follows_it_if_the_store_tells_none)
{
    startOldRelay("old", "a");
    start("a1", "a");
    BOOST_TEST(runUntil([this] { return gateway("a1").told_.grantedBy_ == InstanceId("old"); }));
}

BOOST_AUTO_TEST_SUITE_END()

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "core/errorcode.h"
#include "core/virtualclock.h"
#include "decide/attemptfailure.h"
#include "decide/claimrefusal.h"
#include "decide/requestmachine.h"

using namespace cowsliphead;

namespace
{

constexpr std::chrono::seconds Patience{ 10 };

RequestTraits traitsOf(bool isRepeatable)
{
    RequestTraits traits;
    traits.isRepeatable_ = isRepeatable;
    traits.maxAttempts_ = 3;
    traits.deadline_ = VirtualClock().now() + Patience;
    return traits;
}

RequestTraits claimedTraits()
{
    auto traits = traitsOf(false);
    traits.needsClaim_ = true;
    return traits;
}

AttemptFailure lost(bool mayHaveBeenSent)
{
    return { make_error_code(ErrorCode::EndpointLost), mayHaveBeenSent, false };
}

AttemptFailure refused()
{
    return { make_error_code(ErrorCode::EndpointRefused), true, true };
}

struct Fixture {
    VirtualClock clock_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_request_that_must_not_be_repeated)

BOOST_FIXTURE_TEST_SUITE(whose_endpoint_is_lost, Fixture)

BOOST_AUTO_TEST_CASE(before_a_byte_was_offered_is_sent_again)
{
    RequestMachine machine(traitsOf(false));
    machine.begin(clock_.now());
    const auto step = machine.attemptFailed(lost(false), true, clock_.now());
    BOOST_TEST(std::holds_alternative<DispatchStep>(step));
}

BOOST_AUTO_TEST_CASE(after_a_byte_was_offered_ends_as_unknown)
{
    RequestMachine machine(traitsOf(false));
    machine.begin(clock_.now());
    const auto step = machine.attemptFailed(lost(true), true, clock_.now());
    BOOST_REQUIRE(std::holds_alternative<FailStep>(step));
    BOOST_TEST(static_cast<int>(std::get<FailStep>(step).outcome_) == static_cast<int>(Outcome::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(that_an_endpoint_refuses_whole, Fixture)

BOOST_AUTO_TEST_CASE(is_sent_to_another_endpoint)
{
    RequestMachine machine(traitsOf(false));
    machine.begin(clock_.now());
    BOOST_TEST(std::holds_alternative<DispatchStep>(machine.attemptFailed(refused(), true, clock_.now())));
}

BOOST_AUTO_TEST_CASE(ends_as_not_run_once_the_attempts_are_spent)
{
    RequestMachine machine(traitsOf(false));
    machine.begin(clock_.now());
    machine.attemptFailed(refused(), true, clock_.now());
    machine.attemptFailed(refused(), true, clock_.now());
    const auto step = machine.attemptFailed(refused(), true, clock_.now());
    BOOST_REQUIRE(std::holds_alternative<FailStep>(step));
    BOOST_TEST(static_cast<int>(std::get<FailStep>(step).outcome_) == static_cast<int>(Outcome::NotRun));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(that_needs_a_claim, Fixture)

BOOST_AUTO_TEST_CASE(is_sent_only_once_the_claim_is_granted)
{
    RequestMachine machine(claimedTraits());
    BOOST_TEST(std::holds_alternative<ClaimStep>(machine.begin(clock_.now())));
    BOOST_TEST(std::holds_alternative<DispatchStep>(machine.claimGranted(clock_.now(), clock_.now() + Patience)));
}

BOOST_AUTO_TEST_CASE(is_not_sent_and_not_said_to_be_not_run_once_the_claim_has_lapsed)
{
    RequestMachine machine(claimedTraits());
    machine.begin(clock_.now());
    const auto step = machine.claimGranted(clock_.now(), clock_.now());
    BOOST_REQUIRE(std::holds_alternative<FailStep>(step));
    BOOST_TEST(static_cast<int>(std::get<FailStep>(step).outcome_) == static_cast<int>(Outcome::Unknown));
}

BOOST_AUTO_TEST_CASE(is_unknown_when_its_claim_is_refused_unless_the_key_is_another_request_s_for_good)
{
    for (const auto kind : { ClaimVerdictKind::InUse, ClaimVerdictKind::ReusedInProgress, ClaimVerdictKind::Full, ClaimVerdictKind::Unavailable }) {
        BOOST_TEST(static_cast<int>(claimRefusal(kind).outcome_) == static_cast<int>(Outcome::Unknown));
    }
    BOOST_TEST(static_cast<int>(claimRefusal(ClaimVerdictKind::Reused).outcome_) == static_cast<int>(Outcome::NotRun));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(under_any_sequence_of_failures, Fixture)

RC_BOOST_PROP(is_never_sent_after_its_claim_has_lapsed, (const std::vector<std::uint8_t> &waits, bool isRefused))
{
    VirtualClock clock;
    RequestMachine machine(claimedTraits());
    machine.begin(clock.now());
    const auto validUntil = clock.now() + std::chrono::milliseconds(300);
    auto step = machine.claimGranted(clock.now(), validUntil);
    for (const auto wait : waits) {
        if (std::holds_alternative<DispatchStep>(step)) {
            RC_ASSERT(clock.now() < validUntil);
            clock.advance(std::chrono::milliseconds(wait));
            step = machine.attemptFailed(isRefused ? refused() : lost(false), true, clock.now());
        }
    }
    if (const auto *fail = std::get_if<FailStep>(&step)) {
        RC_ASSERT((fail->outcome_ == Outcome::NotRun) == (clock.now() < validUntil));
    }
}

RC_BOOST_PROP(is_offered_for_certain_at_most_once, (const std::vector<std::pair<bool, bool>> &failures))
{
    RequestMachine machine(traitsOf(false));
    auto step = machine.begin(VirtualClock().now());
    int runs = 0;
    for (const auto &[mayHaveBeenSent, wasRefused] : failures) {
        if (!std::holds_alternative<DispatchStep>(step)) {
            break;
        }
        const AttemptFailure attempt{ make_error_code(ErrorCode::EndpointLost), mayHaveBeenSent, wasRefused };
        runs += mayHaveBeenSent && !wasRefused ? 1 : 0;
        step = machine.attemptFailed(attempt, true, VirtualClock().now());
    }
    RC_ASSERT(runs <= 1);
    if (const auto *fail = std::get_if<FailStep>(&step)) {
        RC_ASSERT((fail->outcome_ == Outcome::NotRun) == (runs == 0));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

#include <boost/test/unit_test.hpp>

#include "claim/claimcodec.h"
#include "claim/claimshards.h"
#include "core/virtualclock.h"
#include "decide/claimshard.h"

using namespace cowsliphead;

namespace
{

const ClaimKey Key = claimKey(AccountId("workshop"), "order-1");

struct Fixture {
    ClaimRequest request(std::uint64_t sequence, const std::string &fingerprint = "sheets") const
    {
        return { Key, fingerprint, { "daemon", sequence }, clock_.wallNow(), clock_.now() };
    }

    ClaimEntry entry(ClaimState state) const
    {
        return { "sheets", { "elsewhere", 1 }, state, clock_.wallNow(), std::nullopt };
    }

    /// Moves on until the shard's next batch may begin.
    ClaimAction next()
    {
        clock_.advance(std::chrono::seconds(1));
        return shard_.next(clock_.now(), clock_.wallNow());
    }

    ClaimVerdictKind onlyVerdict()
    {
        const auto verdicts = shard_.takeVerdicts();
        BOOST_REQUIRE(verdicts.size() == 1);
        return verdicts.front().kind_;
    }

    VirtualClock clock_;
    ClaimShard<> shard_{ ClaimLimits() };
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_shard_of_claims)

BOOST_FIXTURE_TEST_SUITE(that_is_empty, Fixture)

BOOST_AUTO_TEST_CASE(grants_a_claim_only_once_it_is_written)
{
    shard_.ask(request(1));
    BOOST_TEST((next() == ClaimAction::Read));
    shard_.readAnswered(0, ClaimTable());
    BOOST_TEST((next() == ClaimAction::Write));
    BOOST_TEST(shard_.takeVerdicts().empty());
    shard_.written(1);
    BOOST_TEST((onlyVerdict() == ClaimVerdictKind::Granted));
}

BOOST_AUTO_TEST_CASE(writes_many_claims_at_once)
{
    constexpr std::uint64_t Claims = 100;
    for (std::uint64_t i = 0; i < Claims; ++i) {
        auto claim = request(i);
        claim.key_ = claimKey(AccountId("workshop"), std::to_string(i));
        shard_.ask(claim);
    }
    next();
    shard_.readAnswered(0, ClaimTable());
    next();
    shard_.written(1);
    BOOST_TEST(shard_.takeVerdicts().size() == Claims);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(whose_store_does_not_answer, Fixture)

BOOST_AUTO_TEST_CASE(refuses_when_the_patience_is_over_and_releases_what_may_be_written)
{
    shard_.ask(request(1));
    next();
    shard_.readAnswered(0, ClaimTable());
    next();
    shard_.writeFailed(clock_.now());
    clock_.advance(ClaimLimits().claimTimeout_);
    BOOST_TEST((next() == ClaimAction::Read));
    BOOST_TEST((onlyVerdict() == ClaimVerdictKind::Unavailable));
    ClaimTable written;
    written.claim(request(1), clock_.wallNow(), ClaimLimits());
    shard_.readAnswered(1, written);
    BOOST_TEST((next() == ClaimAction::Nothing));
    clock_.advance(ClaimLimits().endWriteDelay_);
    BOOST_TEST((next() == ClaimAction::Read));
    shard_.readAnswered(1, written);
    BOOST_TEST((next() == ClaimAction::Write));
    BOOST_TEST((shard_.proposal().find(Key)->state_ == ClaimState::Released));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(that_remembers_a_claim_which_was_released_elsewhere, Fixture)

BOOST_AUTO_TEST_CASE(reads_anew_and_grants_it)
{
    shard_.ask(request(1));
    next();
    shard_.readAnswered(1, ClaimTable({ { Key, entry(ClaimState::Claimed) } }));
    next();
    BOOST_TEST((onlyVerdict() == ClaimVerdictKind::InUse));
    const auto released = entry(ClaimState::Released);
    clock_.advance(ClaimLimits().maxClockSkew_ + std::chrono::milliseconds(1));
    shard_.ask(request(2));
    BOOST_TEST((next() == ClaimAction::Read));
    shard_.readAnswered(2, ClaimTable({ { Key, released } }));
    next();
    shard_.written(3);
    BOOST_TEST((onlyVerdict() == ClaimVerdictKind::Granted));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(that_holds_a_completed_request, Fixture)

BOOST_AUTO_TEST_CASE(gives_its_answer_again_but_not_to_another_body)
{
    ClaimTable table;
    table.claim(request(1), clock_.wallNow(), ClaimLimits());
    const ClaimAnswer answer{ 200, "application/json", "{\"order\":\"\xc3\xbc\"}" };
    table.end({ Key, { "daemon", 1 }, true, clock_.wallNow(), MonotonicTime::max(), answer }, ClaimLimits());
    BOOST_REQUIRE((decodeClaims(encodeClaims(table)) == table));
    BOOST_TEST((table.claim(request(2), clock_.wallNow(), ClaimLimits()) == ClaimVerdictKind::Replayed));
    BOOST_TEST((table.claim(request(3, "other"), clock_.wallNow(), ClaimLimits()) == ClaimVerdictKind::Reused));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(that_is_full, Fixture)

BOOST_AUTO_TEST_CASE(grants_no_more_and_stays_within_the_store_s_value)
{
    ClaimTable table;
    std::uint64_t sequence = 0;
    auto claim = request(sequence);
    while (table.claim(claim, clock_.wallNow(), ClaimLimits()) == ClaimVerdictKind::Granted) {
        claim = request(++sequence);
        claim.key_ = claimKey(AccountId(), std::to_string(sequence));
        claim.fingerprint_ = requestFingerprint("POST", "/", "");
    }
    BOOST_TEST((table.claim(claim, clock_.wallNow(), ClaimLimits()) == ClaimVerdictKind::Full));
    BOOST_TEST(encodeClaims(table).size() <= ClaimLimits().maxTableBytes_);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

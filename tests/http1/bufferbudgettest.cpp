#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <memory>
#include <vector>

#include "http1/bufferbudget.h"
#include "http1/buffershare.h"
#include "task/eventloop.h"
#include "task/timer.h"

using namespace cowsliphead;

namespace
{

constexpr std::size_t Unit = 16384;

/// A loop with a budget of 100 units.
struct Budget {
    EventLoop loop_;
    BufferBudget budget_{ loop_, 100 * Unit };

    void runOnce()
    {
        Timer end(loop_, [this] { loop_.stop(); });
        end.startOnce(std::chrono::milliseconds(1));
        loop_.run();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_budget_for_buffers, Budget)

BOOST_AUTO_TEST_SUITE(that_is_exceeded)

BOOST_AUTO_TEST_CASE(revokes_the_largest_share_after_the_call_that_exceeded_it)
{
    int smallRevoked = 0;
    int largeRevoked = 0;
    BufferShare small(budget_, [&] { ++smallRevoked; });
    BufferShare large(budget_, [&] { ++largeRevoked; });
    large.resize(80 * Unit);
    small.resize(30 * Unit);
    BOOST_TEST(largeRevoked == 0);
    runOnce();
    BOOST_TEST(largeRevoked == 1);
    BOOST_TEST(smallRevoked == 0);
}

BOOST_AUTO_TEST_CASE(leaves_a_share_that_cannot_be_revoked_however_large)
{
    int revoked = 0;
    BufferShare fixed(budget_);
    BufferShare other(budget_, [&] { ++revoked; });
    fixed.resize(99 * Unit);
    other.resize(2 * Unit);
    runOnce();
    BOOST_TEST(revoked == 1);
    BOOST_TEST(budget_.used() == 101 * Unit);
}

// Guards against ordinary requests that are ended although that frees next to nothing.
BOOST_AUTO_TEST_CASE(leaves_small_shares_to_those_who_use_them)
{
    int revoked = 0;
    BufferShare fixed(budget_);
    BufferShare small(budget_, [&] { ++revoked; });
    small.resize(Unit - 1);
    fixed.resize(101 * Unit);
    runOnce();
    BOOST_TEST(revoked == 0);
}

BOOST_AUTO_TEST_CASE(forgets_a_revoked_share_that_ends_first)
{
    int revoked = 0;
    {
        BufferShare share(budget_, [&] { ++revoked; });
        share.resize(101 * Unit);
    }
    runOnce();
    BOOST_TEST(revoked == 0);
    BOOST_TEST(budget_.used() == 0U);
}

BOOST_AUTO_TEST_CASE(may_revoke_a_share_again_that_was_emptied)
{
    int revoked = 0;
    BufferShare share(budget_, [&] { ++revoked; });
    for (int round = 1; round <= 3; ++round) {
        share.resize(101 * Unit);
        runOnce();
        BOOST_TEST(revoked == round);
        share.resize(0);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_is_used_by_many)

RC_BOOST_PROP(is_kept_once_the_revoked_shares_are_empty, (const std::vector<std::pair<std::uint8_t, std::uint8_t>> &changes))
{
    Budget fixture;
    constexpr std::size_t Shares = 7;
    std::vector<std::unique_ptr<BufferShare>> shares(Shares);
    for (auto &share : shares) {
        share = std::make_unique<BufferShare>(fixture.budget_, [&share] { share->resize(0); });
    }
    for (const auto &[index, bytes] : changes) {
        shares[index % Shares]->resize(bytes * Unit);
    }
    fixture.runOnce();
    std::size_t sum = 0;
    for (const auto &share : shares) {
        sum += share->size();
    }
    RC_ASSERT(fixture.budget_.used() == sum);
    RC_ASSERT(sum <= fixture.budget_.limit());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <deque>
#include <map>
#include <numeric>
#include <random>
#include <utility>
#include <vector>

#include "core/virtualclock.h"
#include "gateway/retryallowance.h"

using namespace cowsliphead;

namespace
{

constexpr double Ratio = 0.2;
constexpr std::size_t Domains = 3;

/// The pool of one relay, as docs/design/adaptive-serving.md specifies it.
struct Pool {
    struct Member {
        std::uint64_t deposited_ = 0;
        std::uint64_t granted_ = 0;
    };

    std::uint64_t answer(std::size_t gateway, std::uint64_t total, bool isWanted, double limit)
    {
        const auto [member, isNew] = members_.try_emplace(gateway, Member{ total, 0 });
        auto &[deposited, granted] = member->second;
        if (total > deposited) {
            available_ = std::min(limit, available_ + static_cast<double>(total - deposited));
            deposited = total;
        }
        if (isWanted && available_ >= 1) {
            available_ -= 1;
            ++granted;
        }
        return granted;
    }

    InstanceId relay_;
    std::map<std::size_t, Member> members_;
    double available_ = 0;
};

/// Gateways that send requests and retries and exchange messages with the relays of their failure domains, in steps of 50 ms.
class Fleet
{
public:
    Fleet(std::size_t gateways, double reserve, std::uint64_t seed)
        : reserve_(reserve)
        , random_(seed)
        , shares_(gateways, RetryAllowance(Ratio, reserve))
        , pools_(Domains)
    {
        for (auto &share : shares_) {
            share.setGatewayCount(gateways);
        }
        for (std::size_t domain = 0; domain < Domains; ++domain) {
            restartRelay(domain);
        }
    }

    void restartRelay(std::size_t domain)
    {
        pools_[domain] = Pool{ InstanceId("relay-" + std::to_string(++relays_)), {}, 0 };
    }

    void request(std::size_t gateway)
    {
        shares_[gateway].requestArrived();
        ++requests_.back();
    }

    /// Returns false if the gateway has no retry left.
    bool retry(std::size_t gateway)
    {
        const bool isSent = shares_[gateway].spend();
        retries_.back() += isSent ? 1 : 0;
        return isSent;
    }

    /// Lets each gateway send a query. lostPart of the queries and of the answers are lost; as many are received again one exchange
    /// later.
    void exchange(double lostPart)
    {
        for (std::size_t gateway = 0; gateway < shares_.size(); ++gateway) {
            auto &pool = pools_[gateway % Domains];
            const std::uint64_t total = shares_[gateway].deposit(clock_.now());
            const auto earlier = std::exchange(lastTotals_[gateway], total);
            const bool isWanted = !shares_[gateway].hasRetryLeft();
            if (isDrawn(lostPart)) {
                continue;
            }
            if (isDrawn(lostPart)) {
                pool.answer(gateway, earlier, isWanted, limit());
            }
            const auto granted = pool.answer(gateway, total, isWanted, limit());
            if (isDrawn(lostPart)) {
                continue;
            }
            shares_[gateway].takeGrants(pool.relay_, granted);
            shares_[gateway].depositArrived();
            if (isDrawn(lostPart)) {
                shares_[gateway].takeGrants(pool.relay_, granted - std::min<std::uint64_t>(granted, 1));
            }
        }
    }

    /// Ends a step. Returns by how much the retries of the last ten seconds exceed the bound.
    double excess()
    {
        const double requests = std::accumulate(requests_.begin(), requests_.end(), 0.0);
        const double retries = std::accumulate(retries_.begin(), retries_.end(), 0.0);
        clock_.advance(std::chrono::milliseconds(50));
        for (auto *counts : { &requests_, &retries_ }) {
            counts->push_back(0);
            if (counts->size() > StepsOfPeriod) {
                counts->pop_front();
            }
        }
        return retries - (Ratio * requests + reserve_);
    }

    bool isDrawn(double probability)
    {
        return std::bernoulli_distribution(probability)(random_);
    }

    std::size_t draw(std::size_t count)
    {
        return random_() % count;
    }

private:
    static constexpr std::size_t StepsOfPeriod = 200;

    double limit() const
    {
        return RetryAllowance::poolPart(reserve_) / Domains;
    }

    VirtualClock clock_;
    double reserve_;
    std::mt19937_64 random_;
    std::vector<RetryAllowance> shares_;
    std::vector<Pool> pools_;
    int relays_ = 0;

    /// The totals of the previous queries.
    std::map<std::size_t, std::uint64_t> lastTotals_;
    std::deque<double> requests_{ 0 };
    std::deque<double> retries_{ 0 };
};

constexpr int StepsOfExchange = 5;

/// Requests that need a retry and do not get one, if half of those of one gateway fail and none of the others.
int unservedRetries(bool isLent)
{
    constexpr std::size_t Gateways = 59;
    Fleet fleet(Gateways, 204, 1);
    int unserved = 0;
    for (int step = 0; step < 2000; ++step) {
        for (std::size_t gateway = 0; gateway < Gateways; ++gateway) {
            if (fleet.isDrawn(0.5)) {
                fleet.request(gateway);
                unserved += step > 1000 && gateway == 0 && fleet.isDrawn(0.5) && !fleet.retry(gateway) ? 1 : 0;
            }
        }
        if (isLent && step % StepsOfExchange == 0) {
            fleet.exchange(0);
        }
        fleet.excess();
    }
    return unserved;
}

} // namespace

BOOST_AUTO_TEST_SUITE(retries_that_gateways_lend_each_other)

BOOST_AUTO_TEST_CASE(serve_a_gateway_that_needs_more_than_its_share)
{
    const int alone = unservedRetries(false);
    const int lent = unservedRetries(true);
    BOOST_TEST_MESSAGE("without a retry: " << alone << " alone, " << lent << " lent");
    BOOST_TEST(lent * 2 < alone);
}

BOOST_AUTO_TEST_CASE(count_only_once_an_endpoint_receives_the_request)
{
    RetryAllowance share(Ratio, 54);
    BOOST_TEST(share.spend());
    share.refund();
    BOOST_TEST(share.spend());
    BOOST_TEST(!share.spend());
}

BOOST_AUTO_TEST_CASE(come_from_what_a_relay_adds_to_its_grants)
{
    // Guards against retries out of nothing after a change of relays, and after messages that are repeated or overtaken.
    RetryAllowance share(Ratio, 54);
    share.setGatewayCount(54);
    share.spend();
    share.takeGrants(InstanceId("first"), 7);
    BOOST_TEST(!share.hasRetryLeft());
    share.takeGrants(InstanceId("first"), 6);
    share.takeGrants(InstanceId("first"), 7);
    BOOST_TEST(!share.hasRetryLeft());
    share.takeGrants(InstanceId("second"), 20);
    share.takeGrants(InstanceId("first"), 8);
    BOOST_TEST(!share.hasRetryLeft());
    share.takeGrants(InstanceId("first"), 9);
    BOOST_TEST(share.spend());
    BOOST_TEST(!share.hasRetryLeft());
}

RC_BOOST_PROP(stay_within_the_bound_whatever_is_lost, (std::uint64_t seed))
{
    std::mt19937_64 choices(seed);
    const std::size_t gateways = 6 + choices() % 80;
    const double reserve = static_cast<double>(gateways) * (1.3 + static_cast<double>(choices() % 300) / 100);
    Fleet fleet(gateways, reserve, seed);
    const double lostPart = static_cast<double>(choices() % 5) / 10;
    double requestsPerStep = 0;
    double failingPart = 0;
    bool isStorm = false;
    double worst = -reserve;
    for (int step = 0; step < 1200; ++step) {
        if (step % 100 == 0) {
            requestsPerStep = choices() % 3 == 0 ? 0 : static_cast<double>(choices() % 50);
            failingPart = static_cast<double>(choices() % 4) / 3;
            isStorm = choices() % 3 == 0;
        }
        for (int request = 0; request < requestsPerStep; ++request) {
            // Half of the requests arrive at a third of the gateways.
            const auto gateway = fleet.draw(fleet.isDrawn(0.5) ? gateways : gateways / 3);
            fleet.request(gateway);
            if (fleet.isDrawn(failingPart)) {
                fleet.retry(gateway);
                fleet.retry(gateway);
            }
        }
        for (std::size_t gateway = 0; isStorm && gateway < gateways; ++gateway) {
            // Older requests fail everywhere, also while no new ones arrive.
            fleet.retry(gateway);
        }
        if (step % StepsOfExchange == 0) {
            fleet.exchange(lostPart);
        }
        if (step % 400 == 399) {
            fleet.restartRelay(fleet.draw(Domains));
        }
        worst = std::max(worst, fleet.excess());
    }
    fprintf(stderr, "WORST %f gw %zu res %f\n", worst, gateways, reserve);
    RC_LOG() << "gateways " << gateways << " reserve " << reserve << " lost " << lostPart << " excess " << worst;
    RC_ASSERT(worst <= 0.0);
}

BOOST_AUTO_TEST_SUITE_END()

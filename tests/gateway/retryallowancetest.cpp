#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <vector>

#include "gateway/retryallowance.h"

using namespace cowsliphead;

BOOST_AUTO_TEST_SUITE(the_shared_retry_budget)

RC_BOOST_PROP(all_gateways_together_stay_within_the_bound, (std::uint8_t seed, const std::vector<bool> &events))
{
    constexpr double Ratio = 0.2;
    constexpr double Reserve = 54;
    const std::size_t gateways = seed % 20 + 1;
    std::vector<RetryAllowance> shares(gateways, RetryAllowance(Ratio, Reserve));
    for (auto &share : shares) {
        share.setGatewayCount(gateways);
    }
    double requests = 0;
    double retries = 0;
    for (std::size_t index = 0; index < events.size(); ++index) {
        auto &share = shares[index % gateways];
        if (events[index]) {
            share.requestArrived();
            ++requests;
        } else if (share.spend()) {
            ++retries;
        }
    }
    RC_ASSERT(retries <= Ratio * requests + Reserve);
}

BOOST_AUTO_TEST_CASE(an_unknown_number_of_gateways_leaves_a_small_share)
{
    RetryAllowance share(0.2, 54);
    BOOST_TEST(share.spend());
    BOOST_TEST(!share.spend());
}

BOOST_AUTO_TEST_SUITE_END()

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
    std::vector<RetryAllowance> allowances(gateways, RetryAllowance(Ratio, Reserve));
    for (auto &allowance : allowances) {
        allowance.setGatewayCount(gateways);
    }
    double requests = 0;
    double retries = 0;
    for (std::size_t index = 0; index < events.size(); ++index) {
        auto &allowance = allowances[index % gateways];
        if (events[index]) {
            allowance.requestArrived();
            ++requests;
        } else if (allowance.spend()) {
            ++retries;
        }
    }
    RC_ASSERT(retries <= Ratio * requests + Reserve);
}

BOOST_AUTO_TEST_CASE(an_unknown_number_of_gateways_leaves_a_small_share)
{
    RetryAllowance allowance(0.2, 54);
    BOOST_TEST(allowance.spend());
    BOOST_TEST(!allowance.spend());
}

BOOST_AUTO_TEST_SUITE_END()

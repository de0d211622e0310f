#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "decide/retrybudget.h"

using namespace cowsliphead;

BOOST_AUTO_TEST_SUITE(the_retry_budget)

BOOST_AUTO_TEST_SUITE(under_any_load)

RC_BOOST_PROP(limits_retries_to_a_percentage_of_the_requests, (const std::vector<bool> &isRetry))
{
    const auto percent = *rc::gen::inRange<std::uint32_t>(0, 101);
    RetryBudget budget;
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    for (const bool wantsRetry : isRetry) {
        if (!wantsRetry) {
            budget.requestArrived(percent);
            ++requests;
        } else if (budget.mayRetry()) {
            budget.spend();
            ++retries;
        }
    }
    RC_ASSERT(retries * 100 <= requests * percent + std::uint64_t(RetryBudget::LargestReserve) * 100);
}

BOOST_AUTO_TEST_CASE(refuses_when_exhausted_and_allows_retries_again_after_new_requests)
{
    RetryBudget budget;
    while (budget.mayRetry()) {
        budget.spend();
    }
    for (int i = 0; i < 5; ++i) {
        budget.requestArrived(20);
    }
    BOOST_TEST(budget.mayRetry());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "gateway/nextstep.h"

using namespace cowsliphead;

namespace
{

AttemptEnd endOf(unsigned number)
{
    constexpr unsigned Ends = 6;
    return static_cast<AttemptEnd>(number % Ends);
}

} // namespace

BOOST_AUTO_TEST_SUITE(what_follows_a_dispatch)

RC_BOOST_PROP(only_a_request_that_cannot_have_run_is_refused, (unsigned number, bool mayRunAgain, bool mayHaveRun, bool hasAttempts, bool isWithinBudget))
{
    const auto end = endOf(number);
    const bool hasRun = mayHaveRun || end == AttemptEnd::Lost || end == AttemptEnd::Failed || end == AttemptEnd::Unproven;
    const auto step = nextStep(end, { mayRunAgain, hasRun, hasAttempts, isWithinBudget });
    RC_ASSERT(step != NextStep::Refuse || !hasRun);
}

RC_BOOST_PROP(a_request_that_must_not_run_twice_is_not_sent_again_once_written, (bool mayHaveRun, bool hasAttempts, bool isWithinBudget))
{
    RC_ASSERT(nextStep(AttemptEnd::Lost, { false, mayHaveRun, hasAttempts, isWithinBudget }) == NextStep::Fail);
    RC_ASSERT(nextStep(AttemptEnd::Unproven, { false, mayHaveRun, hasAttempts, isWithinBudget }) == NextStep::Fail);
    RC_ASSERT(nextStep(AttemptEnd::Failed, { false, mayHaveRun, hasAttempts, isWithinBudget }) == NextStep::ForwardResponse);
}

RC_BOOST_PROP(nothing_is_sent_again_without_a_retry_left, (unsigned number, bool mayRunAgain, bool mayHaveRun, bool hasAttempts))
{
    RC_ASSERT(nextStep(endOf(number), { mayRunAgain, mayHaveRun, hasAttempts, false }) != NextStep::RetryElsewhere);
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_refused_is_followed_by_another)
{
    BOOST_TEST((nextStep(AttemptEnd::NotExecuted, { false, false, true, true }) == NextStep::RetryElsewhere));
}

BOOST_AUTO_TEST_SUITE_END()

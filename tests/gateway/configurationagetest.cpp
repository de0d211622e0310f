#include <boost/test/unit_test.hpp>

#include "gateway/configurationage.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(the_age_of_the_configuration)

BOOST_AUTO_TEST_CASE(is_beyond_any_bound_before_the_first_confirmation)
{
    const ConfigurationAge age;
    BOOST_TEST(!age.isWithin(5000ms, MonotonicTime(1h)));
}

BOOST_AUTO_TEST_SUITE(after_a_confirmation)

BOOST_AUTO_TEST_CASE(counts_from_the_time_of_the_read_and_ends_at_the_bound)
{
    ConfigurationAge age;
    age.confirmed(MonotonicTime(10s));
    BOOST_TEST(age.isWithin(5000ms, MonotonicTime(14999ms)));
    BOOST_TEST(!age.isWithin(5000ms, MonotonicTime(15s)));
}

BOOST_AUTO_TEST_CASE(is_not_set_back_by_an_older_one_that_arrives_late)
{
    ConfigurationAge age;
    age.confirmed(MonotonicTime(10s));
    age.confirmed(MonotonicTime(8s));
    BOOST_TEST(age.age(MonotonicTime(11s)).count() == 1000);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

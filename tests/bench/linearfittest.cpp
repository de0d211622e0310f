#include <vector>

#include <boost/test/unit_test.hpp>

#include "bench/fitpoint.h"
#include "bench/linearfit.h"

using namespace cowsliphead;

namespace
{

constexpr double Tolerance = 1e-9;

std::vector<FitPoint> pointsOnLine(double slope, double intercept)
{
    std::vector<FitPoint> points;
    for (const double size : { 100.0, 200.0, 400.0, 800.0 }) {
        points.push_back({ size, intercept + slope * size });
    }
    return points;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_line_through_measured_points)

BOOST_AUTO_TEST_SUITE(that_lie_on_a_line)

BOOST_AUTO_TEST_CASE(has_its_slope_and_its_intercept)
{
    const auto fit = fitLine(pointsOnLine(2.5, 40));
    BOOST_CHECK_CLOSE(fit.slope_, 2.5, Tolerance);
    BOOST_CHECK_CLOSE(fit.intercept_, 40.0, Tolerance);
    BOOST_CHECK_CLOSE(fit.determination_, 1.0, Tolerance);
}

BOOST_AUTO_TEST_CASE(has_slope_zero_if_all_values_are_equal)
{
    const auto fit = fitLine(pointsOnLine(0, 40));
    BOOST_TEST(fit.slope_ == 0);
    BOOST_CHECK_CLOSE(fit.intercept_, 40.0, Tolerance);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_scatter_about_a_line)

BOOST_AUTO_TEST_CASE(has_the_least_sum_of_squares)
{
    const std::vector<FitPoint> points{ { 1, 1 }, { 2, 3 }, { 3, 2 }, { 4, 4 } };
    const auto fit = fitLine(points);
    BOOST_CHECK_CLOSE(fit.slope_, 0.8, Tolerance);
    BOOST_CHECK_CLOSE(fit.intercept_, 0.5, Tolerance);
    BOOST_CHECK_CLOSE(fit.determination_, 0.64, Tolerance);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_all_have_one_size)

BOOST_AUTO_TEST_CASE(has_slope_zero)
{
    const std::vector<FitPoint> points{ { 5, 1 }, { 5, 3 } };
    BOOST_TEST(fitLine(points).slope_ == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

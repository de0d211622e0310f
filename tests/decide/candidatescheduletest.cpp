#include <algorithm>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "decide/candidateschedule.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

constexpr MonotonicTime Start(1h);
constexpr std::chrono::milliseconds IntervalBeforeCount = 2s;
constexpr std::chrono::milliseconds FleetInterval = 500ms;
constexpr std::chrono::milliseconds Step = 50ms;

/// Candidates that start together and learn the size of the fleet ten seconds later. Returns the longest time without a check.
std::chrono::milliseconds longestGap(int candidates, std::chrono::minutes duration)
{
    std::vector<CandidateSchedule> schedules;
    schedules.reserve(static_cast<std::size_t>(candidates));
    for (int number = 0; number < candidates; ++number) {
        schedules.emplace_back(IntervalBeforeCount, static_cast<std::uint32_t>(number) * 7919U + 1U);
    }
    auto lastCheck = Start;
    std::chrono::milliseconds gap{ 0 };
    for (auto now = Start; now < Start + duration; now += Step) {
        for (auto &schedule : schedules) {
            if (now == Start + 10s) {
                schedule.setMean(FleetInterval * candidates);
            }
            if (schedule.isDue(now)) {
                schedule.checked(now);
                gap = std::max(gap, std::chrono::duration_cast<std::chrono::milliseconds>(now - lastCheck));
                lastCheck = now;
            }
        }
    }
    return gap;
}

} // namespace

// Guards against a fleet in which nobody checks for a free duty after a common start: 195 gateways left the duties without a holder for 18
// seconds, and three usage reports were missed (namib-verse-large, trouble-1).
BOOST_AUTO_TEST_SUITE(candidates_for_a_duty_that_start_together)

BOOST_AUTO_TEST_CASE(leave_no_long_gap_between_checks)
{
    for (const int candidates : { 8, 60, 195, 340 }) {
        BOOST_TEST_CONTEXT(candidates << " candidates")
        {
            BOOST_TEST(longestGap(candidates, 5min).count() <= std::chrono::milliseconds(5s).count());
        }
    }
}

BOOST_AUTO_TEST_CASE(make_no_check_while_one_pauses)
{
    CandidateSchedule schedule(1s, 1);
    schedule.pause(3s, Start);
    BOOST_TEST(!schedule.isDue(Start + 2999ms));
    BOOST_TEST(schedule.isDue(Start + 3s));
}

BOOST_AUTO_TEST_SUITE_END()

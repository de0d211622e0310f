#include <deque>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "decide/admission/admissiondecision.h"
#include "decide/admission/admissionfacts.h"
#include "plainservicereplay.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

using Load = PlainServiceReplay::Load;

/// 1.5 times the slots, as gateways allow. The endpoint serves 100 requests a second.
constexpr std::size_t Limit = PlainServiceReplay::Slots * 3 / 2;

PlainServiceReplay played(std::size_t limit, const std::vector<Load> &loads, std::chrono::milliseconds duration = 20s)
{
    PlainServiceReplay replay(limit);
    replay.play(loads, duration);
    replay.finish();
    return replay;
}

/// Long prompts that arrive at one engine twice as fast as it reads them, for 10 s.
struct EngineQueueReplay {
    explicit EngineQueueReplay(bool isDecided)
    {
        constexpr auto Patience = 2400ms;
        std::chrono::milliseconds freeAt{ 0 };
        for (std::chrono::milliseconds now{ 0 }; now < 10s; now += 50ms) {
            const FirstEventEstimate expected{ .queue_ = std::max<std::chrono::milliseconds>(0ms, freeAt - now), .reading_ = 100ms };
            const AdmissionFacts facts{
                .callerTimeLeft_ = 6s, .routeTimeLeft_ = 6s, .patienceLeft_ = Patience, .targetLatency_ = 600ms, .expected_ = expected
            };
            if (isDecided && admissionDecision(facts).kind_ != AdmissionKind::Send) {
                continue;
            }
            ++(expected.total() <= Patience ? inTime_ : lost_);
            freeAt = now + expected.total();
        }
    }

    int inTime_ = 0;
    int lost_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(while_more_is_asked_than_can_be_served)

BOOST_AUTO_TEST_SUITE(by_a_burst_of_one_kind_of_request)

BOOST_AUTO_TEST_CASE(the_other_kinds_are_served_and_the_capacity_is_used)
{
    // Guards against a common queue at the endpoints, in which all kinds are late.
    const std::vector<Load> burst{ { AccountId("steady"), 40 }, { AccountId("burst"), 50 * 2.4 } };
    auto replay = played(Limit, burst);
    BOOST_TEST(replay.figuresOf("steady").share() > 0.99);
    BOOST_TEST(replay.figuresOf("burst").inTime_ > 20 * 50);
    // Those sent late have little time left and find room; they are not refused on a mean response time.
    BOOST_TEST(replay.figuresOf("burst").late_ <= 12);
    BOOST_TEST(replay.idleSteps() == 0);

    auto present = played(PlainServiceReplay::Unlimited, burst);
    BOOST_TEST(present.figuresOf("steady").share() < 0.2);
}

BOOST_AUTO_TEST_CASE(more_urgent_kinds_are_served_first)
{
    auto replay = played(Limit, { { AccountId("press"), 80, 0 }, { AccountId("mill"), 60 * 2.4, 2 } });
    BOOST_TEST(replay.figuresOf("press").share() > 0.99);
    BOOST_TEST(replay.figuresOf("mill").inTime_ > 20 * 15);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(by_an_account_with_five_times_its_share)

BOOST_AUTO_TEST_CASE(the_other_accounts_get_theirs)
{
    const std::vector<Load> loads{ { AccountId("flood"), 125 }, { AccountId("mill"), 24 }, { AccountId("press"), 24 }, { AccountId("dairy"), 24 } };
    auto replay = played(Limit, loads);
    for (const auto *account : { "mill", "press", "dairy" }) {
        BOOST_TEST(replay.figuresOf(account).share() > 0.98);
    }
    BOOST_TEST(replay.figuresOf("flood").inTime_ > 20 * 24);

    auto present = played(PlainServiceReplay::Unlimited, loads);
    BOOST_TEST(present.figuresOf("mill").share() < 0.2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(by_callers_that_repeat_refused_requests_at_once)

BOOST_AUTO_TEST_CASE(they_get_no_more_than_those_that_wait)
{
    auto replay = played(Limit, { { AccountId("hasty"), 90, 0, true }, { AccountId("patient"), 90, 0, false } });
    const auto hasty = replay.figuresOf("hasty").inTime_;
    const auto patient = replay.figuresOf("patient").inTime_;
    BOOST_TEST(hasty + patient > 20 * 95);
    BOOST_TEST(hasty < patient * 1.1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(by_prompts_for_one_engine)

BOOST_AUTO_TEST_CASE(none_is_read_for_a_caller_that_has_left)
{
    const EngineQueueReplay replay(true);
    BOOST_TEST(replay.lost_ == 0);
    BOOST_TEST(replay.inTime_ > 100);
    const EngineQueueReplay present(false);
    BOOST_TEST(present.lost_ > 100);
    BOOST_TEST(present.inTime_ < replay.inTime_);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(by_any_loads)

RC_BOOST_PROP(no_slot_is_idle_while_a_request_waits_and_accounts_below_their_share_are_served, (std::uint8_t small, std::uint8_t large, std::uint8_t larger))
{
    auto replay =
        played(Limit, { { AccountId("small"), small % 30 + 1.0 }, { AccountId("large"), 40.0 + large % 100 }, { AccountId("larger"), 40.0 + larger } }, 3s);
    RC_ASSERT(replay.idleSteps() == 0);
    RC_ASSERT(replay.figuresOf("small").share() > 0.95);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

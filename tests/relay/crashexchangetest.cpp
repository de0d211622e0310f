#include <array>
#include <map>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "core/virtualclock.h"
#include "relay/crashexchange.h"
#include "relay/relayanswer.h"
#include "relay/relaymessagecodec.h"
#include "relay/relayquery.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

const CrashSuspects Request{ SuspectKey(1), {} };

/// A gateway of several, whose processes exchange their counts by queries that may be lost.
struct Process {
    InstanceId incarnation_;
    CrashRegister dispatching_;
    CrashExchange exchange_;

    explicit Process(const std::string &name, VirtualClock &clock)
        : incarnation_(name)
        , exchange_(incarnation_, Address<CrashReports>([this, &clock](const CrashReports &reports) { dispatching_.merge(reports, clock.now()); }))
    {
    }
};

struct Exchanges {
    static constexpr std::size_t Count = 3;

    VirtualClock clock_;
    std::array<std::unique_ptr<Process>, Count> processes_;
    int starts_ = 0;
    int endpoints_ = 0;
    std::size_t lastReports_ = 0;

    Exchanges()
    {
        for (std::size_t number = 0; number < Exchanges::Count; ++number) {
            restart(number);
        }
    }

    void restart(std::size_t number)
    {
        processes_[number] = std::make_unique<Process>("process-" + std::to_string(++starts_), clock_);
    }

    static PeerAddress addressOf(std::size_t number)
    {
        return { "10.0.0.1", static_cast<std::uint16_t>(number + 1) };
    }

    void crash(std::size_t number)
    {
        auto &process = *processes_[number];
        clock_.advance(10ms);
        process.dispatching_.crashed(Request, IncarnationKey(++endpoints_), clock_.now(), clock_.now());
        process.exchange_.received(process.dispatching_.changesAfter(0, clock_.now()), clock_.now());
    }

    void ask(std::size_t asking, std::size_t asked, bool isAnswerLost = false)
    {
        if (asking == asked) {
            return;
        }
        auto &from = *processes_[asking];
        auto &to = *processes_[asked];
        const auto query = from.exchange_.queryFor(addressOf(asked), clock_.now());
        const auto answer = to.exchange_.answer(query, clock_.now());
        lastReports_ = query.reports_.size() + answer.reports_.size();
        if (!isAnswerLost) {
            from.exchange_.answered(addressOf(asked), to.incarnation_, answer, clock_.now());
        }
    }

    std::size_t crashesAt(std::size_t number) const
    {
        return processes_[number]->dispatching_.crashesInARow(Request, clock_.now());
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(gateways_that_exchange_what_they_know_of_crashes, Exchanges)

BOOST_AUTO_TEST_CASE(tell_the_relay_and_learn_from_it)
{
    crash(0);
    ask(0, 1);
    BOOST_TEST(crashesAt(1) == 1U);
    ask(2, 1);
    BOOST_TEST(crashesAt(2) == 1U);
}

BOOST_AUTO_TEST_CASE(send_nothing_twice)
{
    crash(0);
    ask(0, 1);
    ask(0, 1);
    ask(0, 1);
    BOOST_TEST(lastReports_ == 0U);
}

BOOST_AUTO_TEST_CASE(send_again_what_was_not_confirmed)
{
    crash(0);
    ask(0, 1, true);
    restart(1);
    ask(0, 1);
    BOOST_TEST(crashesAt(1) == 1U);
}

BOOST_AUTO_TEST_CASE(tell_all_to_a_process_that_took_over_the_address)
{
    crash(0);
    ask(0, 1);
    restart(1);
    ask(0, 1);
    ask(0, 1);
    BOOST_TEST(crashesAt(1) == 1U);
}

RC_BOOST_PROP(agree_once_queries_are_answered_again, (const std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>> &steps))
{
    Exchanges exchanges;
    for (const auto &[kind, first, second] : steps) {
        const auto number = first % Exchanges::Count;
        switch (kind % 4) {
        case 0:
            exchanges.crash(number);
            break;
        case 1:
            exchanges.ask(number, second % Exchanges::Count, true);
            break;
        case 2:
            exchanges.restart(number);
            break;
        default:
            exchanges.ask(number, second % Exchanges::Count);
        }
    }
    for (int round = 0; round < 3; ++round) {
        for (std::size_t asking = 0; asking < Exchanges::Count; ++asking) {
            for (std::size_t asked = 0; asked < Exchanges::Count; ++asked) {
                exchanges.ask(asking, asked);
            }
        }
    }
    for (std::size_t number = 1; number < Exchanges::Count; ++number) {
        RC_ASSERT(exchanges.crashesAt(number) == exchanges.crashesAt(0));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_messages_of_relays)

BOOST_AUTO_TEST_CASE(carry_what_is_known_of_crashes_and_answers)
{
    const CrashSighting sighting{ IncarnationKey(~0ULL), SuspectKey(2), { SuspectKey(3), SuspectKey(1ULL << 63U) }, 40ms, 5000ms, true };
    const CrashClearance clearance{ SuspectKey(3), 700ms };
    RelayQuery query;
    query.from_ = { InstanceId("i"), FailureDomain("a"), { "10.0.0.1", 7 } };
    query.crashes_ = { InstanceId("known"), 12, { { sighting }, { clearance } } };
    const auto decodedQuery = relaymessagecodec::decodeQuery(relaymessagecodec::encode(query));
    BOOST_REQUIRE(decodedQuery.has_value());
    BOOST_TEST((decodedQuery->crashes_.knownOf_ == InstanceId("known")));
    BOOST_TEST(decodedQuery->crashes_.knownVersion_ == 12U);
    RelayAnswer answer;
    answer.crashes_ = { 13, { { sighting }, { clearance } } };
    const auto decodedAnswer = relaymessagecodec::decodeAnswer(relaymessagecodec::encode(answer));
    BOOST_REQUIRE(decodedAnswer.has_value());
    BOOST_TEST(decodedAnswer->crashes_.version_ == 13U);
    for (const auto &reports : { decodedQuery->crashes_.reports_, decodedAnswer->crashes_.reports_ }) {
        BOOST_TEST((reports.sightings_ == std::vector<CrashSighting>{ sighting }));
        BOOST_TEST((reports.clearances_ == std::vector<CrashClearance>{ clearance }));
    }
}

BOOST_AUTO_TEST_SUITE_END()

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "core/errorcode.h"
#include "core/virtualclock.h"
#include "decide/attemptfailure.h"
#include "decide/requestmachine.h"
#include "serve/answerstream.h"

using namespace cowsliphead;

namespace
{

constexpr std::uint64_t Tokens = 12;

std::string attemptId(std::uint32_t attempt)
{
    return "run-7-" + std::to_string(attempt);
}

std::string eventText(std::uint64_t index, const std::string &id)
{
    return "data: {\"id\":\"" + id + "\",\"token\":" + std::to_string(index) + "}\n\n";
}

std::string answerText(std::uint64_t from, const std::string &id)
{
    std::string text;
    for (auto index = from; index < Tokens; ++index) {
        text += eventText(index, id);
    }
    return text + "data: [DONE]\n\n";
}

/// One simulated attempt: how many bytes of the answer arrive, in pieces of which size, and whether the endpoint ignores the resume field.
struct AttemptScenario {
    std::uint16_t bytes_ = 0;
    std::uint8_t pieceBytes_ = 1;
    bool ignoresResume_ = false;
};

/// Simulates the attempts of one request and collects what the caller receives.
class SimulatedCaller
{
public:
    explicit SimulatedCaller(RequestMachine &machine)
        : machine_(machine)
    {
    }

    RequestStep attempt(std::uint32_t number, const AttemptScenario &scenario, MonotonicTime now)
    {
        stream_.beginAttempt(attemptId(number));
        const auto from = scenario.ignoresResume_ ? 0 : stream_.eventCount();
        const auto confirmed = from == 0 ? std::string() : std::to_string(from);
        if (stream_.canContinueFrom(confirmed)) {
            receive(answerText(from, attemptId(number)).substr(0, scenario.bytes_), scenario.pieceBytes_);
        }
        if (stream_.isComplete()) {
            return machine_.answerEnded();
        }
        return machine_.attemptFailed({ make_error_code(ErrorCode::EndpointLost), true, false }, true, now);
    }

    std::string received_;

private:
    void receive(const std::string &text, std::size_t pieceBytes)
    {
        for (std::size_t at = 0; at < text.size(); at += pieceBytes) {
            received_ += stream_.append(text.substr(at, pieceBytes));
            if (!received_.empty()) {
                machine_.answerStarted();
            }
        }
    }

    RequestMachine &machine_;
    AnswerStream stream_;
};

} // namespace

namespace rc
{

template <>
struct Arbitrary<AttemptScenario> {
    static Gen<AttemptScenario> arbitrary()
    {
        return gen::build<AttemptScenario>(gen::set(&AttemptScenario::bytes_, gen::inRange<std::uint16_t>(0, 900)),
                                           gen::set(&AttemptScenario::pieceBytes_, gen::inRange<std::uint8_t>(1, 120)),
                                           gen::set(&AttemptScenario::ignoresResume_, gen::weightedElement<bool>({ { 4, false }, { 1, true } })));
    }
};

} // namespace rc

BOOST_AUTO_TEST_SUITE(a_streamed_answer)

BOOST_AUTO_TEST_SUITE(whose_endpoints_fail_one_after_another)

RC_BOOST_PROP(is_complete_or_a_prefix_marked_as_incomplete, (const std::vector<AttemptScenario> &scenarios))
{
    RequestTraits traits;
    traits.isResumable_ = true;
    traits.maxAttempts_ = 4;
    const VirtualClock clock;
    traits.deadline_ = clock.now() + std::chrono::seconds(10);
    RequestMachine machine(traits);
    SimulatedCaller caller(machine);
    auto step = machine.begin(clock.now());
    for (const auto &scenario : scenarios) {
        const auto *dispatch = std::get_if<DispatchStep>(&step);
        if (dispatch == nullptr) {
            break;
        }
        step = caller.attempt(dispatch->attempt_, scenario, clock.now());
    }
    // All events carry the identifier of the attempt that delivered the first event.
    const auto idEnd = caller.received_.find("\",\"token\"");
    const auto id = idEnd == std::string::npos ? attemptId(1) : caller.received_.substr(13, idEnd - 13);
    const auto whole = answerText(0, id);
    RC_ASSERT(whole.starts_with(caller.received_));
    RC_ASSERT((caller.received_ == whole) == std::holds_alternative<CompleteStep>(step));
    RC_TAG(std::holds_alternative<CompleteStep>(step) ? "whole" : "not whole");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_connection_ends)

BOOST_AUTO_TEST_CASE(is_whole_only_after_its_last_event)
{
    const std::string events = "data: {\"token\":1}\n\ndata: [DONE]\n\n";
    const auto first = events.find("\n\n") + 2;
    for (std::size_t size = 0; size < events.size(); ++size) {
        AnswerStream stream;
        stream.beginAttempt("1");
        BOOST_TEST(stream.append(events.substr(0, size)) == (size < first ? "" : events.substr(0, first)));
        BOOST_TEST(!stream.isComplete());
    }
    AnswerStream stream;
    stream.beginAttempt("1");
    BOOST_TEST(stream.append(events) == events);
    BOOST_TEST(stream.isComplete());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_next_endpoint_does_not_confirm_the_resume_position)

BOOST_AUTO_TEST_CASE(does_not_continue_with_that_endpoint)
{
    AnswerStream stream;
    stream.beginAttempt(attemptId(1));
    stream.append(eventText(0, attemptId(1)));
    stream.beginAttempt(attemptId(2));
    BOOST_TEST(!stream.canContinueFrom(""));
    BOOST_TEST(!stream.canContinueFrom("2"));
    BOOST_TEST(stream.canContinueFrom("1"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

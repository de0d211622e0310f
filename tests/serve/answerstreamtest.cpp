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

std::string idOf(std::uint32_t attempt)
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

/// How one attempt goes: what of the answer arrives, in which pieces, and what the endpoint does with the resume field.
struct AttemptStory {
    std::uint16_t bytes_ = 0;
    std::uint8_t pieceBytes_ = 1;
    bool ignoresResume_ = false;
};

/// The caller's view of one request whose attempts go as the stories say.
class Reader
{
public:
    explicit Reader(RequestMachine &machine)
        : machine_(machine)
    {
    }

    RequestStep attempt(std::uint32_t number, const AttemptStory &story, MonotonicTime now)
    {
        stream_.beginAttempt(idOf(number));
        const auto from = story.ignoresResume_ ? 0 : stream_.eventCount();
        const auto confirmed = from == 0 ? std::string() : std::to_string(from);
        if (stream_.canContinueFrom(confirmed)) {
            receive(answerText(from, idOf(number)).substr(0, story.bytes_), story.pieceBytes_);
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
struct Arbitrary<AttemptStory> {
    static Gen<AttemptStory> arbitrary()
    {
        return gen::build<AttemptStory>(gen::set(&AttemptStory::bytes_, gen::inRange<std::uint16_t>(0, 900)),
                                        gen::set(&AttemptStory::pieceBytes_, gen::inRange<std::uint8_t>(1, 120)),
                                        gen::set(&AttemptStory::ignoresResume_, gen::weightedElement<bool>({ { 4, false }, { 1, true } })));
    }
};

} // namespace rc

BOOST_AUTO_TEST_SUITE(a_streamed_answer)

BOOST_AUTO_TEST_SUITE(whose_endpoints_fail_one_after_the_other)

RC_BOOST_PROP(is_whole_or_a_prefix_that_is_visibly_not_whole, (const std::vector<AttemptStory> &stories))
{
    RequestTraits traits;
    traits.isResumable_ = true;
    traits.maxAttempts_ = 4;
    const VirtualClock clock;
    traits.deadline_ = clock.now() + std::chrono::seconds(10);
    RequestMachine machine(traits);
    Reader reader(machine);
    auto step = machine.begin(clock.now());
    for (const auto &story : stories) {
        const auto *dispatch = std::get_if<DispatchStep>(&step);
        if (dispatch == nullptr) {
            break;
        }
        step = reader.attempt(dispatch->attempt_, story, clock.now());
    }
    // The identifier that the caller sees is that of the attempt which gave the first event.
    const auto idEnd = reader.received_.find("\",\"token\"");
    const auto id = idEnd == std::string::npos ? idOf(1) : reader.received_.substr(13, idEnd - 13);
    const auto whole = answerText(0, id);
    RC_ASSERT(whole.starts_with(reader.received_));
    RC_ASSERT((reader.received_ == whole) == std::holds_alternative<CompleteStep>(step));
    RC_TAG(std::holds_alternative<CompleteStep>(step) ? "whole" : "not whole");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_next_endpoint_does_not_confirm_to_resume)

BOOST_AUTO_TEST_CASE(does_not_join_it)
{
    AnswerStream stream;
    stream.beginAttempt(idOf(1));
    stream.append(eventText(0, idOf(1)));
    stream.beginAttempt(idOf(2));
    BOOST_TEST(!stream.canContinueFrom(""));
    BOOST_TEST(!stream.canContinueFrom("2"));
    BOOST_TEST(stream.canContinueFrom("1"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

#include <boost/test/unit_test.hpp>

#include "serve/servingfleet.h"

using namespace cowsliphead;

namespace
{

constexpr int Tokens = 20;
constexpr std::size_t Callers = 6;

std::string nameOf(std::size_t caller)
{
    return "caller" + std::to_string(caller) + "word";
}

std::vector<std::string> bodies(std::string (*body)(const std::string &, int))
{
    std::vector<std::string> made;
    for (std::size_t caller = 0; caller < Callers; ++caller) {
        made.push_back(body(nameOf(caller), Tokens));
    }
    return made;
}

void checkAllWhole(const std::vector<CallerAnswer> &answers)
{
    for (std::size_t caller = 0; caller < answers.size(); ++caller) {
        BOOST_TEST_CONTEXT("caller " << caller)
        {
            BOOST_TEST(answers[caller].isWhole_);
            BOOST_TEST(tokensOf(answers[caller]) == expectedTokens(nameOf(caller), Tokens));
        }
    }
}

struct ThreeEngines : ServingFleet {
    ThreeEngines()
        : ServingFleet(3, R"({"maxAttempts":4})")
    {
    }
};

struct OneEngine : ServingFleet {
    OneEngine()
        : ServingFleet(1)
    {
    }
};

struct ImpatientPolicy : ServingFleet {
    ImpatientPolicy()
        : ServingFleet(3, R"({"firstTokenTimeoutMs":300,"betweenTokensTimeoutMs":300})")
    {
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(callers_of_streamed_answers)

BOOST_FIXTURE_TEST_SUITE(whose_engine_crashes_in_the_middle, ThreeEngines)

BOOST_AUTO_TEST_CASE(get_the_rest_from_another_one)
{
    setFaults(0, R"({"crashAfterTokens":9})");
    setFaults(1, R"({"crashAfterTokens":17})");
    checkAllWhole(ask(bodies(streamedBody)));
}

BOOST_AUTO_TEST_CASE(see_one_identifier_throughout)
{
    setFaults(0, R"({"crashAfterTokens":5})");
    setFaults(1, R"({"crashAfterTokens":5})");
    const auto answer = ask({ streamedBody("one", Tokens) }).front();
    BOOST_TEST(answer.isWhole_);
    BOOST_TEST(answer.text_.find("-2\"") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(whose_engine_ends_them_early, ThreeEngines)

BOOST_AUTO_TEST_CASE(get_the_rest_from_another_one)
{
    setFaults(0, R"({"truncations":3})");
    setFaults(1, R"({"truncations":3})");
    checkAllWhole(ask(bodies(streamedBody)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(with_no_engine_to_go_on, OneEngine)

BOOST_AUTO_TEST_CASE(see_that_the_answer_is_not_whole)
{
    setFaults(0, R"({"crashAfterTokens":9,"downMs":60000})");
    const auto answer = ask({ streamedBody("one", Tokens) }).front();
    BOOST_TEST(!answer.isWhole_);
    BOOST_TEST(expectedTokens("one", Tokens).starts_with(tokensOf(answer)));
    BOOST_TEST(answer.text_.find("[DONE]") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(whose_next_engine_begins_anew, ThreeEngines)

BOOST_AUTO_TEST_CASE(get_no_token_twice)
{
    setFaults(R"({"crashAfterTokens":5,"ignoredResumes":1})");
    const auto answer = ask({ streamedBody("one", Tokens) }).front();
    BOOST_TEST(expectedTokens("one", Tokens).starts_with(tokensOf(answer)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(whose_engine_stops_responding, ImpatientPolicy)

BOOST_AUTO_TEST_CASE(get_the_rest_from_another_one)
{
    setFaults(0, R"({"silentAfterTokens":4})");
    setFaults(1, R"({"silentAfterTokens":0})");
    checkAllWhole(ask(bodies(streamedBody)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(over_connections_that_have_all_gone_silent, ImpatientPolicy)

BOOST_AUTO_TEST_CASE(get_their_answers_over_new_ones)
{
    checkAllWhole(ask(bodies(streamedBody)));
    setFaults(R"({"muteOpenConnections":true})");
    checkAllWhole(ask(bodies(streamedBody)));
}

BOOST_AUTO_TEST_CASE(need_no_more_than_one_further_attempt)
{
    checkAllWhole(ask(bodies(streamedBody)));
    setFaults(R"({"muteOpenConnections":true})");
    checkAllWhole(ask({ streamedBody(nameOf(0), Tokens) }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(who_leave, OneEngine)

BOOST_AUTO_TEST_CASE(free_the_engine_of_their_work)
{
    askAndLeave(streamedBody("one", 1000000));
    waitUntil([this] { return state(0, "running") == 0; });
    BOOST_TEST(state(0, "cancelled") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(callers_of_unstreamed_answers)

BOOST_FIXTURE_TEST_SUITE(whose_engine_crashes, ThreeEngines)

BOOST_AUTO_TEST_CASE(get_them_from_another_one)
{
    setFaults(0, R"({"crashAfterTokens":9})");
    setFaults(1, R"({"crashAfterTokens":17})");
    checkAllWhole(ask(bodies(wholeBody)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(whose_engines_cross_and_delay_them, ThreeEngines)

BOOST_AUTO_TEST_CASE(get_their_own)
{
    setFaults(0, R"({"wrongIds":2,"lateSteps":10})");
    setFaults(1, R"({"cross":true,"refusals":1})");
    checkAllWhole(ask(bodies(wholeBody)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_poison_request)

struct SixEngines : ServingFleet {
    SixEngines()
        : ServingFleet(6)
    {
        setFaults(R"({"poison":"plague","downMs":50})");
    }

    std::uint64_t crashes()
    {
        std::uint64_t sum = 0;
        for (std::size_t engine = 0; engine < engineCount(); ++engine) {
            sum += state(engine, "crashes");
        }
        return sum;
    }
};

BOOST_FIXTURE_TEST_SUITE(among_innocent_neighbours, SixEngines)

BOOST_AUTO_TEST_CASE(is_refused_after_three_crashes_and_they_are_answered)
{
    auto asked = bodies(streamedBody);
    asked.push_back(streamedBody("plague", Tokens));
    auto answers = ask(asked);
    BOOST_TEST(answers.back().status_ == 502);
    BOOST_TEST(answers.back().outcome_ == "unknown");
    answers.pop_back();
    checkAllWhole(answers);
    const auto again = ask({ streamedBody("plague", Tokens) }).front();
    BOOST_TEST(again.status_ == 422);
    BOOST_TEST(again.outcome_ == "not-run");
    BOOST_TEST(crashes() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

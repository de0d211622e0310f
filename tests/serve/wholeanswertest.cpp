#include <boost/test/unit_test.hpp>

#include "http/httpresponsehead.h"
#include "serve/wholeanswer.h"

using namespace cowsliphead;

namespace
{

const HttpResponseHead Undelimited{ 200, { { "Content-Type", "application/json" } } };
const std::string Completion = R"({"choices":[{"text":"a"}]})";

} // namespace

BOOST_AUTO_TEST_SUITE(an_answer_whose_connection_ended_in_order)

BOOST_AUTO_TEST_SUITE(with_neither_length_nor_chunks)

BOOST_AUTO_TEST_CASE(is_no_whole_completion_wherever_it_stopped)
{
    BOOST_TEST(isWholeAnswer(Undelimited, Completion, true));
    for (std::size_t size = 0; size < Completion.size(); ++size) {
        BOOST_TEST(!isWholeAnswer(Undelimited, Completion.substr(0, size), true), size);
    }
}

BOOST_AUTO_TEST_CASE(is_whole_if_it_comes_from_a_plain_service)
{
    BOOST_TEST(isWholeAnswer(Undelimited, "text", false));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(is_whole_if_its_length_was_known)
{
    BOOST_TEST(isWholeAnswer({ 200, { { "Content-Length", "4" } } }, "text", true));
    BOOST_TEST(isWholeAnswer({ 200, { { "Transfer-Encoding", "chunked" } } }, "text", true));
}

BOOST_AUTO_TEST_SUITE_END()

#include <fstream>
#include <iterator>
#include <string>

#include <boost/test/unit_test.hpp>

#include "logs/eventcatalogue.h"
#include "logs/eventdescription.h"

using namespace cowsliphead;

namespace
{

std::string readPage()
{
    std::ifstream page(COWSLIPHEAD_SOURCE_DIR "/docs/EVENTS.md");
    return { std::istreambuf_iterator<char>(page), {} };
}

std::string rowOf(const EventDescription &description)
{
    static const char *const levels[] = { "debug", "info", "warning", "error" };
    return "| " + std::to_string(static_cast<int>(description.event_)) + " | " + levels[static_cast<int>(description.level_)] + " | " + description.name_
        + " | " + description.meaning_ + " |\n";
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_catalogue_of_events)

BOOST_AUTO_TEST_SUITE(in_the_docs)

BOOST_AUTO_TEST_CASE(has_a_row_for_each_event_and_no_other)
{
    const auto page = readPage();
    std::size_t rows = 0;
    for (std::size_t position = page.find("\n| "); position != std::string::npos; position = page.find("\n| ", position + 1)) {
        ++rows;
    }
    for (const auto &description : eventCatalogue()) {
        BOOST_TEST(page.find(rowOf(description)) != std::string::npos, rowOf(description));
    }
    BOOST_TEST(rows == eventCatalogue().size() + 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(in_the_code)

BOOST_AUTO_TEST_CASE(is_sorted_by_event_number)
{
    int last = 0;
    for (const auto &description : eventCatalogue()) {
        BOOST_TEST(static_cast<int>(description.event_) > last);
        last = static_cast<int>(description.event_);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

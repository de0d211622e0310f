#include <boost/test/unit_test.hpp>

#include "records/parserecord.h"

using namespace cowsliphead;

BOOST_AUTO_TEST_SUITE(an_operator_writes_a_record)

BOOST_AUTO_TEST_SUITE(that_is_in_order)

BOOST_AUTO_TEST_CASE(with_comments_and_it_is_understood)
{
    const auto record = parseRecord(R"({"schema": 2, "kind": "account", "name": "press", "weight": 3} // the Press)");
    BOOST_REQUIRE(record.has_value());
    BOOST_TEST(std::get<AccountRecord>(record->body_).weight_ == 3);
}

BOOST_AUTO_TEST_CASE(of_the_schema_before_and_it_is_understood)
{
    const auto record = parseRecord(R"({"schema": 1, "kind": "model", "name": "small"})");
    BOOST_TEST(record.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_a_mistake)

BOOST_AUTO_TEST_CASE(in_the_syntax_and_is_told_the_line)
{
    const auto record = parseRecord("{\n\"kind\": }");
    BOOST_REQUIRE(!record.has_value());
    BOOST_TEST(record.error().place_.starts_with("line 2"));
}

BOOST_AUTO_TEST_CASE(in_a_field_and_is_told_its_pointer)
{
    const auto record = parseRecord(R"({"kind": "account", "name": "press", "weight": "much"})");
    BOOST_REQUIRE(!record.has_value());
    BOOST_TEST(record.error().place_ == "/weight");
}

BOOST_AUTO_TEST_CASE(in_a_field_name_and_is_told_that_it_is_unknown)
{
    const auto record = parseRecord(R"({"kind": "account", "name": "press", "wait": 1})");
    BOOST_REQUIRE(!record.has_value());
    BOOST_TEST(record.error().place_ == "/wait");
}

BOOST_AUTO_TEST_CASE(of_a_schema_to_come_and_it_is_refused)
{
    const auto record = parseRecord(R"({"schema": 3, "kind": "account", "name": "press"})");
    BOOST_REQUIRE(!record.has_value());
    BOOST_TEST(record.error().place_ == "/schema");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_a_newer_program_has_put_in_force)

BOOST_AUTO_TEST_CASE(and_its_text_is_kept_unharmed)
{
    const std::string text = R"({"schema": 9, "kind": "account", "name": "press", "mood": "fine"})";
    const auto record = parseStoredRecord(text);
    BOOST_REQUIRE(record.has_value());
    BOOST_TEST(record->text_ == text);
    BOOST_TEST(std::holds_alternative<std::monostate>(record->body_));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

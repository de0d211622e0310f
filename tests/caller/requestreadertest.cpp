#include <boost/test/unit_test.hpp>

#include "caller/requestreader.h"
#include "core/errorcode.h"
#include "http/httprequest.h"

using namespace cowsliphead;

namespace
{

HttpRequest requestWith(const std::string &fieldName)
{
    return { HttpMethod::Get, "/v1/models", {}, { { "Authorization", "Bearer key" }, { fieldName, "value" } }, {} };
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_request_of_a_caller)

// Regression test: blanks in field names were accepted, so that a request could have fields that other readers know by another name.
BOOST_AUTO_TEST_CASE(with_a_byte_in_a_field_name_that_may_not_stand_there_is_malformed)
{
    for (const auto *name : { "Idempotency Key", "Idempotency-Key ", "Idempotency-Key\t", "Idem(potency", "Idem\x80potency" }) {
        const auto facts = readRequestFacts(requestWith(name));
        BOOST_REQUIRE(!facts.has_value());
        BOOST_TEST(facts.error() == ErrorCode::RequestMalformed, name);
    }
    BOOST_TEST(readRequestFacts(requestWith("X-Any_field.name")).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

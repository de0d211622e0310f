#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <fstream>
#include <iterator>
#include <map>
#include <regex>
#include <string>

#include "gateway/parsegatewaysettings.h"

using namespace cowsliphead;

namespace
{

using Fields = std::map<std::string, std::string>;

/// What the platform fills in where nothing else is said. Values are as in JSON.
const Fields UsualFields{
    { "nodeName", "\"front-1\"" },
    { "zone", "\"a\"" },
    { "ip", "\"127.0.0.1\"" },
    { "internalPorts.0", "7660" },
    { "listen.front", "\"127.0.0.1:8405\"" },
    { "listen.ready", "\"127.0.0.1:8406\"" },
    { "provider.address", "\"127.0.0.1:8408\"" },
    { "cloud.address", "\"127.0.0.1:8409\"" },
    { "bounds.drainMs", "2000" },
    { "bounds.graceS", "8" },
    { "bounds.configMs", "2000" },
    { "bounds.revokeMs", "5000" },
    { "bounds.budgetSlack", "54" },
    { "bounds.leaseMs", "3000" },
    { "bounds.reportWindowS", "5" },
    { "bounds.usageLateS", "10" },
};

const std::vector<std::string> Bounds{ "drainMs", "graceS", "configMs", "revokeMs", "budgetSlack", "leaseMs", "reportWindowS", "usageLateS" };

std::string withoutQuotes(const std::string &value)
{
    return value.starts_with('"') ? value.substr(1, value.size() - 2) : value;
}

/// Fills in platform/settings.template as the platform does. A field with no value is replaced by nothing.
std::string render(const Fields &fields)
{
    std::ifstream file(COWSLIPHEAD_SOURCE_DIR "/platform/settings.template");
    const std::string text(std::istreambuf_iterator<char>(file), {});
    const std::regex placeholder(R"(\{\{([A-Za-z0-9.]+)(\|json)?\}\})");
    std::string result;
    auto rest = text.begin();
    for (auto match = std::sregex_iterator(text.begin(), text.end(), placeholder); match != std::sregex_iterator(); ++match) {
        result.append(rest, (*match)[0].first);
        const auto &value = fields.at((*match)[1]);
        result += (*match)[2].matched ? value : withoutQuotes(value);
        rest = (*match)[0].second;
    }
    return result.append(rest, text.end());
}

Fields with(const std::string &bound, const std::string &value)
{
    auto fields = UsualFields;
    fields.at("bounds." + bound) = value;
    return fields;
}

tl::expected<GatewayDaemonSettings, InputError> parsed(const std::string &bound, const std::string &value)
{
    return parseGatewaySettings(render(with(bound, value)));
}

} // namespace

// The platform gives bounds as whole numbers, fractions, or true or false. Guards against a bound that keeps a process from starting: after
// a change to a fraction no gateway started any more, and no request was served.
BOOST_AUTO_TEST_SUITE(the_bounds_that_the_platform_fills_in)

BOOST_AUTO_TEST_SUITE(as_numbers)

BOOST_AUTO_TEST_CASE(are_durations_to_the_millisecond)
{
    const auto usual = parseGatewaySettings(render(UsualFields));
    BOOST_REQUIRE(usual);
    BOOST_TEST(usual->gateway_.bounds_.stopGrace_.count() == 8000);
    BOOST_TEST(usual->duty_.stopGrace_.count() == 8000);
    BOOST_TEST(usual->duty_.windowLength_.count() == 5000);
    BOOST_TEST(usual->duty_.reportDeadline_.count() == 10000);
    BOOST_TEST(usual->rejected_.empty());
    BOOST_TEST(parsed("graceS", "7.5")->gateway_.bounds_.stopGrace_.count() == 7500);
    BOOST_TEST(parsed("graceS", "7.5e0")->duty_.stopGrace_.count() == 7500);
    BOOST_TEST(parsed("reportWindowS", "2.5")->duty_.windowLength_.count() == 2500);
    BOOST_TEST(parsed("usageLateS", "1E+1")->duty_.reportDeadline_.count() == 10000);
    BOOST_TEST(parsed("usageLateS", "4.35")->duty_.reportDeadline_.count() == 4350);
    BOOST_TEST(parsed("leaseMs", "2999.6")->duty_.leaseDuration_.count() == 3000);
    BOOST_TEST(parsed("drainMs", "1500.0")->relay_.endpointLeaveBound_.count() == 1500);
    BOOST_TEST(parsed("configMs", "0.2e4")->gateway_.bounds_.configuration_.count() == 2000);
    BOOST_TEST(parsed("revokeMs", "4500.25")->gateway_.bounds_.keyWithdrawal_.count() == 4500);
    BOOST_TEST(parsed("budgetSlack", "54.5")->gateway_.bounds_.retryReserve_ == 54.5);
}

RC_BOOST_PROP(are_never_rejected, (unsigned bound, std::uint16_t whole, std::uint8_t fraction, bool hasExponent))
{
    const auto value = std::to_string(whole + 1U) + "." + std::to_string(fraction) + (hasExponent ? "e1" : "");
    const auto settings = parsed(Bounds[bound % Bounds.size()], value);
    RC_ASSERT(settings.has_value());
    RC_ASSERT(settings->rejected_.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(without_a_meaning)

BOOST_AUTO_TEST_CASE(leave_the_usual_value_and_name_the_field_the_value_and_what_is_allowed)
{
    const auto usual = parseGatewaySettings(render(UsualFields));
    for (const auto &bound : Bounds) {
        for (const auto *value : { "true", "false", "null", "", "\"\"", "\"soon\"", "-1", "1e400", "-1e-5", "1e99", "NaN", "12 s", "[]" }) {
            BOOST_TEST_CONTEXT(bound << " = " << value)
            {
                const auto settings = parsed(bound, value);
                BOOST_REQUIRE(settings.has_value());
                BOOST_TEST(settings->gateway_.bounds_.stopGrace_.count() == 8000);
                BOOST_TEST(settings->gateway_.bounds_.retryReserve_ == 54);
                BOOST_TEST(settings->gateway_.bounds_.keyWithdrawal_.count() == 5000);
                BOOST_TEST(settings->gateway_.bounds_.configuration_.count() == 2000);
                BOOST_TEST(settings->duty_.leaseDuration_.count() == 3000);
                BOOST_TEST(settings->duty_.windowLength_.count() == 5000);
                BOOST_TEST(settings->duty_.reportDeadline_.count() == 10000);
                BOOST_TEST((settings->relay_.endpointLeaveBound_ == usual->relay_.endpointLeaveBound_));
                BOOST_REQUIRE(settings->rejected_.size() == 1U);
                const auto description = settings->rejected_[0].describe();
                BOOST_TEST(description.find("from ") != std::string::npos, description);
                BOOST_TEST(description.find(withoutQuotes(value)) != std::string::npos, description);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_are_changed_while_the_process_runs)

BOOST_AUTO_TEST_CASE(keep_the_value_in_force_where_the_new_one_has_no_meaning)
{
    const auto inForce = parsed("graceS", "6.5");
    BOOST_REQUIRE(inForce);
    auto fields = with("graceS", "true");
    fields.at("bounds.configMs") = "1500";
    const auto changed = parseGatewaySettings(render(fields), *inForce);
    BOOST_REQUIRE(changed);
    BOOST_TEST(changed->gateway_.bounds_.stopGrace_.count() == 6500);
    BOOST_TEST(changed->gateway_.bounds_.configuration_.count() == 1500);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

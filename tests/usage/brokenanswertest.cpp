#include <boost/test/unit_test.hpp>

#include "answers/brokencall.h"
#include "usage/platformsettings.h"
#include "usage/reportclient.h"
#include "usage/usagereport.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

constexpr auto CallTimeout = 30s;
constexpr auto BeforeTimeout = 10s;

/// A usage report for an account with a name of this length. The platform may or may not have accepted it.
BrokenCall<void> report(std::size_t size)
{
    return { ErrorCode::PlatformUnavailable, BeforeTimeout, [size](EventLoop &loop, std::uint16_t port, auto reply) {
                auto client = std::make_shared<ReportClient>(loop, PlatformSettings{ "127.0.0.1", port, CallTimeout });
                UsageReport usage;
                usage.account_ = AccountId(std::string(size, 'a'));
                client->submit(usage, std::move(reply));
                return client;
            } };
}

} // namespace

// Guards against a platform in trouble whose broken answer is taken as the acceptance of a usage report, or as its refusal.
BOOST_AUTO_TEST_SUITE(a_broken_answer_to_a_usage_report)

BOOST_AUTO_TEST_SUITE(leaves_it_open_whether_the_report_was_accepted)

BOOST_AUTO_TEST_CASE(if_its_status_is_invalid)
{
    report(1).checkFails(brokenanswers::withInvalidStatus({}, "broken"));
}

BOOST_AUTO_TEST_CASE(if_a_field_name_is_invalid)
{
    report(1).checkFails(brokenanswers::withInvalidFieldName({}, "broken"));
}

BOOST_AUTO_TEST_CASE(if_a_line_of_its_head_is_invalid)
{
    report(1).checkFails(brokenanswers::withInvalidHeadLine({}, "broken"));
}

BOOST_AUTO_TEST_CASE(if_it_is_cut_off_before_the_upload_is_written)
{
    report(brokenanswers::LongUpload).checkFails(brokenanswers::cutOff("HTTP/1.1 200 OK\r\n\r\npart"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

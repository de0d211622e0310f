#include <boost/test/unit_test.hpp>

#include <csignal>

#include "answers/brokenheads.h"
#include "core/errorcode.h"
#include "gateway/rawendpoint.h"
#include "usage/platformsettings.h"
#include "usage/reportclient.h"
#include "usage/usagereport.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

constexpr auto CallTimeout = 30s;
constexpr auto BeforeTimeout = 10s;

/// More than the kernel buffers for a server that does not read.
constexpr std::size_t LongUpload = std::size_t{ 16 } << 20U;

/// A usage report fails with this answer as it is read, since the platform may or may not have accepted it.
void checkReportFails(const RawEndpoint::Script &answer, std::size_t uploadSize = 1)
{
    // As in the program: a write to a closed connection must fail instead of terminating the process.
    std::signal(SIGPIPE, SIG_IGN);
    EventLoop loop;
    RawEndpoint server(loop, { answer });
    ReportClient client(loop, { "127.0.0.1", server.port(), CallTimeout });
    UsageReport report;
    report.account_ = AccountId(std::string(uploadSize, 'a'));
    std::optional<Result<void>> result;
    const auto startedAt = std::chrono::steady_clock::now();
    client.submit(report, [&](const Result<void> &reply) {
        result = reply;
        loop.stop();
    });
    loop.run();
    BOOST_REQUIRE(result.has_value());
    BOOST_REQUIRE(!result->has_value());
    BOOST_TEST(result->error() == ErrorCode::PlatformUnavailable);
    BOOST_TEST((std::chrono::steady_clock::now() - startedAt < BeforeTimeout));
}

} // namespace

// Guards against a platform in trouble whose broken answer is taken as the acceptance of a usage report, or as its refusal.
BOOST_AUTO_TEST_SUITE(a_broken_answer_to_a_usage_report)

BOOST_AUTO_TEST_SUITE(with_an_invalid_status)

BOOST_AUTO_TEST_CASE(leaves_it_open_whether_the_report_was_accepted)
{
    for (const auto &status : brokenheads::Statuses) {
        BOOST_TEST_CONTEXT(status)
        {
            checkReportFails({ brokenheads::withStatus(status) + "broken" });
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_an_invalid_field_name)

BOOST_AUTO_TEST_CASE(leaves_it_open_whether_the_report_was_accepted)
{
    for (const auto &name : brokenheads::FieldNames) {
        BOOST_TEST_CONTEXT(name)
        {
            checkReportFails({ brokenheads::withFieldName(name) + "broken" });
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(cut_off_before_the_upload_is_written)

BOOST_AUTO_TEST_CASE(leaves_it_open_whether_the_report_was_accepted)
{
    const std::string undelimited = "HTTP/1.1 200 OK\r\n\r\npart";
    checkReportFails({ .bytes_ = undelimited, .resetsConnection_ = true, .stopsReading_ = true }, LongUpload);
    checkReportFails({ .bytes_ = undelimited, .closesConnection_ = true, .stopsReading_ = true }, LongUpload);
    checkReportFails({ .bytes_ = undelimited, .stopsReading_ = true, .shutsDownWriting_ = true }, LongUpload);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

#include <boost/test/unit_test.hpp>

#include "answers/brokencall.h"
#include "platform/dutyclient.h"
#include "platform/platformstore.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

/// Shorter than the time-outs of the store's and the platform's calls.
constexpr auto BeforeTimeout = 900ms;

const std::string Written = R"({"revision":412})";
const std::string Undelimited = "HTTP/1.1 200 OK\r\n\r\n" + Written;
const std::string Chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n" + Written + "\r\n";

/// A conditional write of a value of this size. What a broken answer made of it is unknown.
BrokenCall<StoreRevision> write(std::size_t size)
{
    return { ErrorCode::StoreUnavailable, BeforeTimeout, [size](EventLoop &loop, std::uint16_t port, auto reply) {
                auto store = std::make_shared<PlatformStore>(loop, SocketAddress{ "127.0.0.1", port });
                StoreWrite change;
                change.key_ = "k";
                change.value_ = std::string(size, 'v');
                store->compareAndSwap(change, std::move(reply));
                return store;
            } };
}

/// A report of counts for an account with a name of this length. The platform may or may not have accepted it.
BrokenCall<void> report(std::size_t size)
{
    return { ErrorCode::PlatformUnavailable, BeforeTimeout, [size](EventLoop &loop, std::uint16_t port, auto reply) {
                auto platform = std::make_shared<DutyClient>(loop, SocketAddress{ "127.0.0.1", port }, "holder");
                WindowCounts counts;
                counts.requests_.emplace(AccountId(std::string(size, 'a')), 1);
                platform->reportUsage(counts, 1, std::move(reply));
                return platform;
            } };
}

} // namespace

// Guards against a store or platform in trouble whose broken answer is taken as an answer, or is waited for until the time-out.
BOOST_AUTO_TEST_SUITE(a_broken_answer_of_the_platform)

BOOST_AUTO_TEST_SUITE(ends_the_call_as_it_is_read)

BOOST_AUTO_TEST_CASE(if_its_status_is_invalid)
{
    write(1).checkFails(brokenanswers::withInvalidStatus({}, Written));
    report(1).checkFails(brokenanswers::withInvalidStatus({}, Written));
}

BOOST_AUTO_TEST_CASE(if_a_field_name_is_invalid)
{
    write(1).checkFails(brokenanswers::withInvalidFieldName({}, Written));
    report(1).checkFails(brokenanswers::withInvalidFieldName({}, Written));
}

BOOST_AUTO_TEST_CASE(if_a_line_of_its_head_is_invalid)
{
    write(1).checkFails(brokenanswers::withInvalidHeadLine({}, Written));
    report(1).checkFails(brokenanswers::withInvalidHeadLine({}, Written));
}

BOOST_AUTO_TEST_CASE(if_it_is_cut_off_before_the_upload_is_written)
{
    for (const auto &bytes : { Undelimited, Chunked }) {
        write(brokenanswers::LongUpload).checkFails(brokenanswers::cutOff(bytes));
        report(brokenanswers::LongUpload).checkFails(brokenanswers::cutOff(bytes));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <functional>

#include "answers/brokenheads.h"
#include "core/errorcode.h"
#include "gateway/rawendpoint.h"
#include "platform/dutyclient.h"
#include "platform/platformstore.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

/// Shorter than the time-outs of the store's and the platform's calls.
constexpr auto BeforeTimeout = 900ms;

/// More than the kernel buffers for a server that does not read.
constexpr std::size_t LongUpload = std::size_t{ 16 } << 20U;

const std::string Revision = R"({"revision":412})";

/// A server that gives one broken answer, and a call to it.
struct BrokenCall {
    explicit BrokenCall(const RawEndpoint::Script &answer)
        : server_(loop_, { answer })
    {
        // As in the program: a write to a closed connection must fail instead of terminating the process.
        std::signal(SIGPIPE, SIG_IGN);
    }

    SocketAddress address() const
    {
        return { "127.0.0.1", server_.port() };
    }

    /// Runs the call and checks that it ends with this error as the answer is read.
    template <typename T>
    void checkFails(ErrorCode error, const std::function<void(std::function<void(Result<T>)>)> &call)
    {
        std::optional<Result<T>> result;
        const auto startedAt = std::chrono::steady_clock::now();
        call([this, &result](Result<T> answer) {
            result = std::move(answer);
            loop_.stop();
        });
        loop_.run();
        BOOST_REQUIRE(result.has_value());
        BOOST_REQUIRE(!result->has_value());
        BOOST_TEST(result->error() == error);
        BOOST_TEST((std::chrono::steady_clock::now() - startedAt < BeforeTimeout));
    }

    EventLoop loop_;
    RawEndpoint server_;
};

/// A conditional write, a read and a usage report each fail with this answer, since what became of them is unknown.
void checkCallsFail(const RawEndpoint::Script &answer, std::size_t uploadSize = 1)
{
    BrokenCall write(answer);
    PlatformStore store(write.loop_, write.address());
    write.checkFails<StoreRevision>(ErrorCode::StoreUnavailable, [&](auto reply) {
        StoreWrite change;
        change.key_ = "k";
        change.value_ = std::string(uploadSize, 'v');
        store.compareAndSwap(change, reply);
    });
    BrokenCall report(answer);
    DutyClient platform(report.loop_, report.address(), "holder");
    report.checkFails<void>(ErrorCode::PlatformUnavailable, [&](auto reply) {
        WindowCounts counts;
        counts.requests_.emplace(AccountId(std::string(uploadSize, 'a')), 1);
        platform.reportUsage(counts, 1, reply);
    });
}

} // namespace

// Guards against a store or platform in trouble whose broken answer is taken as an answer, or is waited for until the time-out.
BOOST_AUTO_TEST_SUITE(a_broken_answer_of_the_platform)

BOOST_AUTO_TEST_SUITE(with_an_invalid_status)

BOOST_AUTO_TEST_CASE(ends_the_call_as_it_is_read)
{
    for (const auto &status : brokenheads::Statuses) {
        BOOST_TEST_CONTEXT(status)
        {
            checkCallsFail({ brokenheads::withStatus(status) + "broken" });
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_an_invalid_field_name)

BOOST_AUTO_TEST_CASE(ends_the_call_as_it_is_read)
{
    for (const auto &name : brokenheads::FieldNames) {
        BOOST_TEST_CONTEXT(name)
        {
            checkCallsFail({ "HTTP/1.1 200 OK\r\n" + name + ": 2\r\nContent-Length: 16\r\n\r\n" + Revision });
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(cut_off_before_the_upload_is_written)

BOOST_AUTO_TEST_CASE(ends_the_call_as_it_is_read)
{
    const std::string undelimited = "HTTP/1.1 200 OK\r\n\r\n" + Revision;
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n" + Revision + "\r\n";
    for (const auto &bytes : { undelimited, chunked }) {
        BOOST_TEST_CONTEXT(bytes)
        {
            checkCallsFail({ .bytes_ = bytes, .resetsConnection_ = true, .stopsReading_ = true }, LongUpload);
            checkCallsFail({ .bytes_ = bytes, .closesConnection_ = true, .stopsReading_ = true }, LongUpload);
            checkCallsFail({ .bytes_ = bytes, .stopsReading_ = true, .shutsDownWriting_ = true }, LongUpload);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

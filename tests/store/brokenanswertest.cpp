#include <boost/test/unit_test.hpp>

#include <csignal>

#include "answers/brokenheads.h"
#include "core/errorcode.h"
#include "gateway/rawendpoint.h"
#include "store/httpstore.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

constexpr auto CallTimeout = 30s;
constexpr auto BeforeTimeout = 10s;

/// More than the kernel buffers for a server that does not read.
constexpr std::size_t LongUpload = std::size_t{ 16 } << 20U;

const std::string Revision = R"({"revision":412})";

/// A conditional write fails with this answer as it is read, since what became of the write is unknown.
void checkWriteFails(const RawEndpoint::Script &answer, std::size_t uploadSize = 1)
{
    // As in the program: a write to a closed connection must fail instead of terminating the process.
    std::signal(SIGPIPE, SIG_IGN);
    EventLoop loop;
    RawEndpoint server(loop, { answer });
    HttpStore store(loop, "127.0.0.1", server.port(), CallTimeout);
    StoreWrite change;
    change.key_ = "k";
    change.value_ = std::string(uploadSize, 'v');
    std::optional<Result<StoreRevision>> result;
    const auto startedAt = std::chrono::steady_clock::now();
    store.compareAndSwap(change, [&](Result<StoreRevision> reply) {
        result = std::move(reply);
        loop.stop();
    });
    loop.run();
    BOOST_REQUIRE(result.has_value());
    BOOST_REQUIRE(!result->has_value());
    BOOST_TEST(result->error() == ErrorCode::StoreUnavailable);
    BOOST_TEST((std::chrono::steady_clock::now() - startedAt < BeforeTimeout));
}

} // namespace

// Guards against a store in trouble whose broken answer is taken as an answer.
BOOST_AUTO_TEST_SUITE(a_broken_answer_of_the_store)

BOOST_AUTO_TEST_SUITE(with_an_invalid_status)

BOOST_AUTO_TEST_CASE(ends_the_call_as_it_is_read)
{
    for (const auto &status : brokenheads::Statuses) {
        BOOST_TEST_CONTEXT(status)
        {
            checkWriteFails({ brokenheads::withStatus(status) + "broken" });
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
            checkWriteFails({ "HTTP/1.1 200 OK\r\n" + name + ": 2\r\nContent-Length: 16\r\n\r\n" + Revision });
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(cut_off_before_the_upload_is_written)

BOOST_AUTO_TEST_CASE(ends_the_call_as_it_is_read)
{
    const std::string undelimited = "HTTP/1.1 200 OK\r\n\r\n" + Revision;
    checkWriteFails({ .bytes_ = undelimited, .resetsConnection_ = true, .stopsReading_ = true }, LongUpload);
    checkWriteFails({ .bytes_ = undelimited, .closesConnection_ = true, .stopsReading_ = true }, LongUpload);
    checkWriteFails({ .bytes_ = undelimited, .stopsReading_ = true, .shutsDownWriting_ = true }, LongUpload);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

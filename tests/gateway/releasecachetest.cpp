#include <boost/test/unit_test.hpp>

#include "answers/brokenanswers.h"
#include "gateway/gatewaycontext.h"
#include "gateway/releasecache.h"
#include "platform/platformdialect.h"
#include "rawendpoint.h"
#include "task/timer.h"

using namespace cowsliphead;

namespace
{

/// A gateway's context that has told an engine to release a KV cache.
struct ReleasedCache {
    EventLoop loop_;
    GatewayContext context_{ .loop_ = loop_, .settings_ = {}, .usage_ = {}, .spans_ = {}, .crashReports_ = {} };

    /// Returns the number of connections that the gateway has closed after this time.
    int closedConnections(const std::vector<RawEndpoint::Script> &scripts, std::chrono::milliseconds time)
    {
        RawEndpoint engine(loop_, scripts);
        releaseCache<PlatformDialect>(context_, CacheHandle{ SocketAddress{ "127.0.0.1", engine.port() }, "handle" });
        Timer end(loop_, [this] { loop_.stop(); });
        end.startOnce(time);
        loop_.run();
        BOOST_TEST(engine.requests().size() == 1U);
        return engine.closedConnections();
    }
};

} // namespace

// Guards against an engine that holds its answer, or answers without end: the gateway kept the connection and read for ever.
BOOST_FIXTURE_TEST_SUITE(the_release_of_a_kv_cache, ReleasedCache)

BOOST_AUTO_TEST_CASE(ends_with_the_answer)
{
    BOOST_TEST(closedConnections({ { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" } }, std::chrono::milliseconds(300)) == 1);
}

BOOST_AUTO_TEST_CASE(ends_with_a_broken_answer)
{
    for (const auto &answers :
         { brokenanswers::withInvalidStatus({}, "body"), brokenanswers::withInvalidFieldName({}, "body"), brokenanswers::withInvalidHeadLine({}, "body") }) {
        for (auto answer : answers) {
            // Otherwise the release would end with the last byte.
            answer.bytes_.pop_back();
            BOOST_TEST(closedConnections({ answer }, std::chrono::milliseconds(300)) == 1, answer.bytes_);
        }
    }
    BOOST_TEST(closedConnections({ { .bytes_ = "HTTP/1.1 200 OK\r\n\r\npart", .shutsDownWriting_ = true } }, std::chrono::milliseconds(300)) == 1);
}

BOOST_AUTO_TEST_CASE(ends_without_an_answer)
{
    BOOST_TEST(closedConnections({}, std::chrono::milliseconds(1500)) == 1);
}

BOOST_AUTO_TEST_CASE(ends_while_the_answer_goes_on)
{
    RawEndpoint::Script endless;
    endless.bytes_ = "HTTP/1.1 200 OK\r\n\r\n";
    endless.endlessBytes_ = std::string(4096, 'a');
    BOOST_TEST(closedConnections({ endless }, std::chrono::milliseconds(1500)) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

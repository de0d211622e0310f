#include <boost/test/unit_test.hpp>

#include <sys/socket.h>

#include "gatewayfixture.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t LongBody = 20000;

/// A gateway with an endpoint, and callers that keep their connections.
struct Fixture : GatewayFixture {
    explicit Fixture(bool hasConfiguration = true)
        : GatewayFixture(0ms, 8000ms, hasConfiguration)
    {
        addEndpoint({ { .bytes_ = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: s\r\nContent-Length: 4\r\n\r\nbody" } });
    }

    /// The status of the answer on an open connection; 0 if there is none.
    int exchange(int caller, const std::string &bytes)
    {
        BOOST_REQUIRE(::send(caller, bytes.data(), bytes.size(), MSG_NOSIGNAL) == ssize_t(bytes.size()));
        run(100ms);
        std::string answer(4096, '\0');
        const auto length = ::recv(caller, answer.data(), answer.size(), MSG_DONTWAIT);
        constexpr std::size_t StatusAt = 9;
        return length < ssize_t(StatusAt + 3) ? 0 : std::stoi(answer.substr(StatusAt, 3));
    }

    int exchangeBody(int caller, std::size_t size)
    {
        return exchange(caller, requestText("/once/x", "kept-" + std::to_string(++attempts_), std::string(size, 'a')));
    }

    int attempts_ = 0;
};

struct UnconfiguredFixture : Fixture {
    UnconfiguredFixture()
        : Fixture(false)
    {
    }
};

} // namespace

// Regression test (review/10, DENIED): a raised maxBodyBytes did not hold on connections that were open. Each first request with a longer body
// on one of them was refused with 413.
BOOST_AUTO_TEST_SUITE(connections_of_callers)

BOOST_FIXTURE_TEST_SUITE(that_are_open_as_the_configuration_changes, Fixture)

BOOST_AUTO_TEST_CASE(go_by_raised_limits)
{
    setCallerLimits({ .maxBodyBytes_ = 1000 });
    const int used = connectUnreadingCaller("");
    const int unused = connectUnreadingCaller("");
    BOOST_TEST(exchangeBody(used, 10) == 200);
    setCallerLimits({ .maxBodyBytes_ = 2 * LongBody });
    BOOST_TEST(exchangeBody(used, LongBody) == 200);
    BOOST_TEST(exchangeBody(unused, LongBody) == 200);
}

BOOST_AUTO_TEST_CASE(go_by_lowered_limits)
{
    const int used = connectUnreadingCaller("");
    const int unused = connectUnreadingCaller("");
    BOOST_TEST(exchangeBody(used, LongBody) == 200);
    setCallerLimits({ .maxBodyBytes_ = 1000 });
    BOOST_TEST(exchangeBody(used, LongBody) == 413);
    BOOST_TEST(exchangeBody(unused, LongBody) == 413);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(that_are_accepted_before_the_first_configuration, UnconfiguredFixture)

BOOST_AUTO_TEST_CASE(go_by_its_limits)
{
    const int used = connectUnreadingCaller("");
    const int unused = connectUnreadingCaller("");
    BOOST_TEST(exchangeBody(used, 10) == 503);
    constexpr std::size_t LongestBody = std::size_t(5) << 20U;
    setCallerLimits({ .maxHeadBytes_ = 50000, .maxBodyBytes_ = LongestBody });
    const auto head = "GET /once/x HTTP/1.1\r\nHost: host\r\nX-Api-Key: key-1\r\nX-Attempt-Id: long\r\nFiller: " + std::string(LongBody, 'a') + "\r\n\r\n";
    BOOST_TEST(exchange(used, head) == 200);
    BOOST_TEST(exchange(unused, head) == 200);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

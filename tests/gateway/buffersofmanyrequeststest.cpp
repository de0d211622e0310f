#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <fstream>

#include <sys/socket.h>
#include <unistd.h>

#include "gatewayfixture.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

constexpr int Requests = 100;

/// What a machine has left beside a gateway at rest: 160 MB is the smallest machine.
constexpr std::size_t MemoryBesideRest = std::size_t(120) << 20U;

const std::string CompleteResponse = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: s\r\nContent-Length: 4\r\n\r\nbody";
const std::string StreamHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: s\r\nContent-Type: text/event-stream\r\n";

std::size_t occupiedMemory()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * std::size_t(sysconf(_SC_PAGESIZE));
}

RawEndpoint::Script endless(const std::string &head, const std::string &others)
{
    RawEndpoint::Script script;
    script.bytes_ = head;
    script.endlessBytes_ = others;
    return script;
}

std::string repeated(const std::string &text, std::size_t size)
{
    std::string result;
    while (result.size() < size) {
        result += text;
    }
    return result;
}

/// An endpoint whose first answers never end, and a hundred callers that ask for them and read nothing.
struct ManyRequests : GatewayFixture {
    /// Returns by how much the memory has grown at the most.
    std::size_t growthWith(const RawEndpoint::Script &script, const std::string &path)
    {
        std::vector<RawEndpoint::Script> scripts(Requests, script);
        scripts.push_back({ CompleteResponse });
        endpoint_ = &addEndpoint(scripts);
        const auto before = occupiedMemory();
        std::size_t most = before;
        for (int number = 0; number < Requests; ++number) {
            connectUnreadingCaller(requestText(path, "endless-" + std::to_string(number)));
        }
        for (int round = 0; round < 60; ++round) {
            run(20ms);
            most = std::max(most, occupiedMemory());
        }
        return most - before;
    }

    RawEndpoint *endpoint_ = nullptr;
};

} // namespace

// A faulty endpoint may send bytes without end, and callers may read slowly. Guards against limits for each connection that together exceed the
// memory of the machine: a gateway was killed, and the requests of all other callers ended with it.
BOOST_AUTO_TEST_SUITE(a_hundred_requests_at_once)

BOOST_FIXTURE_TEST_SUITE(whose_answers_never_end, ManyRequests)

BOOST_AUTO_TEST_CASE(stay_within_the_memory_in_the_head)
{
    const auto grown = growthWith(endless("HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n", repeated("a:\r\n", 65536)), "/once/x");
    BOOST_TEST(endpoint_->requests().size() == std::size_t(Requests));
    BOOST_TEST(grown < MemoryBesideRest);
    BOOST_TEST(sendRequest("/once/x").status_ == 200);
}

BOOST_AUTO_TEST_CASE(stay_within_the_memory_in_the_body)
{
    const auto grown = growthWith(endless("HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: s\r\n\r\n", std::string(65536, 'a')), "/once/x");
    BOOST_TEST(endpoint_->requests().size() == std::size_t(Requests));
    BOOST_TEST(grown < MemoryBesideRest);
    BOOST_TEST(sendRequest("/once/x").status_ == 200);
}

BOOST_AUTO_TEST_CASE(stay_within_the_memory_in_an_event)
{
    const auto grown = growthWith(endless(StreamHead + "\r\nid: 1\ndata: ", std::string(65536, 'a')), "/stream/x");
    BOOST_TEST(grown < MemoryBesideRest);
    BOOST_TEST(sendRequest("/once/x").status_ == 200);
}

BOOST_AUTO_TEST_CASE(stay_within_the_memory_in_a_stream_of_whole_events)
{
    const auto grown = growthWith(endless(StreamHead + "\r\nid: 1\ndata: a\n\n", repeated("data: " + std::string(58, 'a') + "\n\n", 65536)), "/stream/x");
    BOOST_TEST(endpoint_->requests().size() == std::size_t(Requests));
    BOOST_TEST(grown < MemoryBesideRest);
    BOOST_TEST(endpoint_->closedConnections() == 0);
    BOOST_TEST(sendRequest("/once/x").status_ == 200);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_caller_that_reads_slowly)

BOOST_FIXTURE_TEST_SUITE(a_long_stream, GatewayFixture)

// Guards against a stream that is cut since its caller is behind.
BOOST_AUTO_TEST_CASE(gets_every_byte)
{
    const auto stream = repeated("id: 1\ndata: " + std::string(1000, 'a') + "\n\n", std::size_t(24) << 20U);
    addEndpoint({ { .bytes_ = StreamHead + "Content-Length: " + std::to_string(stream.size()) + "\r\n\r\n" + stream } });
    const int caller = connectUnreadingCaller(requestText("/stream/x", "slow"));
    run(300ms);
    std::string received;
    std::string buffer(std::size_t(1) << 20U, '\0');
    for (int round = 0; round < 1500 && !received.ends_with("\r\n0\r\n\r\n"); ++round) {
        for (auto size = ::recv(caller, buffer.data(), buffer.size(), 0); size > 0; size = ::recv(caller, buffer.data(), buffer.size(), 0)) {
            received.append(buffer, 0, std::size_t(size));
        }
        run(1ms);
    }
    BOOST_TEST(received.ends_with("\r\n0\r\n\r\n"));
    BOOST_TEST(std::count(received.begin(), received.end(), 'a') >= std::count(stream.begin(), stream.end(), 'a'));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(and_sends_requests_without_end, GatewayFixture)

// Guards against bytes after the request in progress that are all read ahead.
BOOST_AUTO_TEST_CASE(has_to_wait_until_its_answers_are_read)
{
    addEndpoint({});
    const int caller = connectUnreadingCaller(requestText("/once/x", "first"));
    run(50ms);
    const std::string more = repeated(requestText("/once/x", "more"), std::size_t(1) << 20U);
    std::size_t taken = 0;
    for (int round = 0; round < 100; ++round) {
        const auto size = ::send(caller, more.data(), more.size(), MSG_NOSIGNAL);
        taken += size > 0 ? std::size_t(size) : 0;
        run(2ms);
    }
    BOOST_TEST(taken < std::size_t(16) << 20U);
}

// Guards against a connection that stops reading ahead and does not begin again.
BOOST_AUTO_TEST_CASE(gets_an_answer_to_each_of_them)
{
    constexpr std::size_t Count = 300;
    addEndpoint({ { CompleteResponse } });
    const int caller = connectUnreadingCaller(requestText("/once/x", "first"));
    std::string unsent;
    for (std::size_t number = 1; number < Count; ++number) {
        unsent += requestText("/once/x", "more", std::string(2000, 'b'));
    }
    std::string received;
    std::string buffer(65536, '\0');
    const auto answers = [&received] {
        std::size_t count = 0;
        for (auto at = received.find("\r\n\r\nbody"); at != std::string::npos; at = received.find("\r\n\r\nbody", at + 1)) {
            ++count;
        }
        return count;
    };
    for (int round = 0; round < 1500 && answers() < Count; ++round) {
        const auto sent = ::send(caller, unsent.data(), unsent.size(), MSG_NOSIGNAL);
        unsent.erase(0, sent > 0 ? std::size_t(sent) : 0);
        run(2ms);
        const auto size = ::recv(caller, buffer.data(), buffer.size(), 0);
        received.append(buffer, 0, size > 0 ? std::size_t(size) : 0);
    }
    BOOST_TEST(answers() == Count);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "serve/servebehaviour.h"
#include "standin/enginestandin.h"
#include "task/eventloop.h"
#include "task/task.h"

namespace cowsliphead
{

class HttpClient;

/// The answer that a caller received, and whether its end was received.
struct CallerAnswer {
    int status_ = 0;
    std::string outcome_;
    std::string text_;
    bool isComplete_ = false;
};

/// Test fixture: a serving task in front of several engine stand-ins, connected by loopback sockets, with callers in the test's own thread.
class ServingTestCluster
{
public:
    explicit ServingTestCluster(std::size_t engines, const std::string &policyFields = {}, const DrainPolicy &drain = {});

    /// Configures the faults of one engine and waits until they are in effect.
    void setFaults(std::size_t engine, const std::string &json);

    /// Configures the faults of all engines.
    void setFaults(const std::string &json);

    /// Reads a numeric field of the engine's state; waits until the engine responds.
    std::uint64_t state(std::size_t engine, const std::string &name);

    /// Sends all bodies concurrently and returns once all answers have ended.
    std::vector<CallerAnswer> sendAll(const std::vector<std::string> &bodies);

    /// Sends the body and disconnects once the first data of the answer has arrived.
    void sendAndDisconnect(const std::string &body);

    /// Orders the daemon to stop.
    void stop();

    /// Sends the body on a connection that was used before, once the daemon that was ordered to stop has closed its listener.
    CallerAnswer sendAfterStop(const std::string &body);

    /// Polls the condition until it is true.
    void waitUntil(const std::function<bool()> &condition);

    std::size_t engineCount() const;

private:
    CallerAnswer call(std::uint16_t port, const std::string &path, const std::string &body);
    CallerAnswer call(HttpClient &client, const std::string &path, const std::string &body);
    void wait(std::chrono::milliseconds time);

    DrainPolicy drain_;
    EventLoop loop_;
    std::vector<std::unique_ptr<Task<EngineStandin>>> engines_;
    std::vector<std::uint16_t> enginePorts_;
    Task<ServeBehaviour> serve_;
    std::uint16_t port_ = 0;
};

/// Request body of a streamed completion whose tokens contain the caller's name.
std::string streamedBody(const std::string &caller, int tokens);

/// Request body of a streamed completion whose prompt begins with a message that other requests may share.
std::string streamedBodyAfter(const std::string &sharedMessage, const std::string &caller, int tokens);

/// Request body of an unstreamed completion.
std::string unstreamedBody(const std::string &caller, int tokens);

/// The tokens that the caller is expected to receive for these bodies.
std::string expectedTokens(const std::string &caller, int tokens);

/// The concatenated tokens of a streamed or unstreamed answer.
std::string tokensOf(const CallerAnswer &answer);

} // namespace cowsliphead

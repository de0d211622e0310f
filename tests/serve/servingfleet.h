#pragma once

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

/// What a caller got, and whether it can see that it is whole.
struct CallerAnswer {
    int status_ = 0;
    std::string outcome_;
    std::string text_;
    bool isWhole_ = false;
};

/// A serving task before several engine stand-ins, with real sockets on the loopback interface, and callers in the test's own thread.
class ServingFleet
{
public:
    explicit ServingFleet(std::size_t engines, const std::string &policyFields = {});

    /// Sets the faults of one engine, and waits until they are in force.
    void setFaults(std::size_t engine, const std::string &json);

    /// Sets the faults of all engines.
    void setFaults(const std::string &json);

    /// A number of the engine's state; waits for an engine that is down.
    std::uint64_t state(std::size_t engine, const std::string &name);

    /// The bodies are sent at the same time; returns once all answers have ended.
    std::vector<CallerAnswer> ask(const std::vector<std::string> &bodies);

    /// One caller sends the body and leaves once something of the answer has arrived.
    void askAndLeave(const std::string &body);

    /// Returns once the condition holds.
    void waitUntil(const std::function<bool()> &condition);

    std::size_t engineCount() const;

private:
    CallerAnswer call(std::uint16_t port, const std::string &path, const std::string &body);

    EventLoop loop_;
    std::vector<std::unique_ptr<Task<EngineStandin>>> engines_;
    std::vector<std::uint16_t> enginePorts_;
    Task<ServeBehaviour> serve_;
    std::uint16_t port_ = 0;
};

/// A streamed completion whose tokens carry the caller's name.
std::string streamedBody(const std::string &caller, int tokens);

/// A completion that is answered whole.
std::string wholeBody(const std::string &caller, int tokens);

/// The tokens that the caller of such a body is to get.
std::string expectedTokens(const std::string &caller, int tokens);

/// The tokens in a streamed or a whole answer, one after the other.
std::string tokensOf(const CallerAnswer &answer);

} // namespace cowsliphead

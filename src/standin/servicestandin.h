#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>

#include "core/result.h"
#include "http/httpserver.h"

namespace cowsliphead
{

class EventLoop;

/// Simulates a service without tokens: echoes each request and counts how often it was run, so that tests can detect repeated runs.
/// A task's behaviour. Thread safety: the loop's task only.
class ServiceStandin
{
public:
    /// There are no messages; the sockets drive this behaviour.
    using Message = std::monostate;

    /// Precondition: the loop outlives the stand-in.
    ServiceStandin(EventLoop &loop, std::string name);
    ~ServiceStandin();

    /// Port 0 selects a free port. Returns the port. Errors: ListenFailed.
    Result<std::uint16_t> listen(const std::string &address, std::uint16_t port);

    /// Does nothing, since there are no messages.
    void receive(Message message);

private:
    void handle(const HttpRequest &request, HttpResponder &responder);

    std::string name_;

    /// Number of runs by request body.
    std::map<std::string, std::uint64_t> runs_;
    HttpServer server_;
};

} // namespace cowsliphead

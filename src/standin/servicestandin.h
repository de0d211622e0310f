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

/// Stands in for a plain service: runs each request once more for each time that it is sent, and tells how often. A task's behaviour.
class ServiceStandin
{
public:
    /// It takes no message; it is driven by its sockets.
    using Message = std::monostate;

    /// Precondition: the loop outlives the stand-in. Thread safety: the loop's task only.
    ServiceStandin(EventLoop &loop, std::string name);
    ~ServiceStandin();

    /// Port 0 takes a free one. Errors: ListenFailed. Thread safety: the loop's task only.
    Result<std::uint16_t> listen(const std::string &address, std::uint16_t port);

    /// Nothing is expected. Thread safety: the loop's task only.
    void receive(Message message);

private:
    void handle(const HttpRequest &request, HttpResponder &responder);

    std::string name_;

    /// Runs by the body of the request.
    std::map<std::string, std::uint64_t> runs_;
    HttpServer server_;
};

} // namespace cowsliphead

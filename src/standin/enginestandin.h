#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <variant>

#include "core/result.h"
#include "http/httpserver.h"
#include "standin/engineoptions.h"
#include "standin/engineorders.h"

namespace cowsliphead
{

class EngineAnswer;
class EventLoop;

/// Stands in for a model engine: answers completions with made-up tokens at the pace of its options. A task's behaviour.
class EngineStandin
{
public:
    /// It takes no message; it is driven by its sockets.
    using Message = std::monostate;

    /// Precondition: the loop outlives the stand-in. Thread safety: the loop's task only.
    EngineStandin(EventLoop &loop, EngineOptions options);
    ~EngineStandin();

    /// Port 0 takes a free one. Errors: ListenFailed. Thread safety: the loop's task only.
    Result<std::uint16_t> listen(const std::string &address, std::uint16_t port);

    /// Nothing is expected. Thread safety: the loop's task only.
    void receive(Message message);

private:
    void handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);

    EventLoop &loop_;
    EngineOptions options_;
    EngineOrders orders_;
    std::list<std::unique_ptr<EngineAnswer>> answers_;
    HttpServer server_;
};

} // namespace cowsliphead

#pragma once

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <variant>

#include <nlohmann/json.hpp>

#include "core/result.h"
#include "http/httpserver.h"
#include "standin/standinfault.h"
#include "task/timer.h"

namespace cowsliphead
{

class EventLoop;

/// Stands in for the platform's interfaces for usage reports, endpoints and instances. It keeps every submission, in the order
/// of their arrival, so that tests see doubles. A task's behaviour.
class PlatformStandin
{
public:
    /// It takes no message; it is driven by its sockets.
    using Message = std::monostate;

    /// Precondition: the loop outlives the stand-in. Thread safety: the loop's task only.
    explicit PlatformStandin(EventLoop &loop);
    ~PlatformStandin();

    /// Port 0 takes a free one. Errors: ListenFailed. Thread safety: the loop's task only.
    Result<std::uint16_t> listen(const std::string &address, std::uint16_t port);

    /// Nothing is expected. Thread safety: the loop's task only.
    void receive(Message message);

private:
    using Responder = std::shared_ptr<HttpResponder>;

    void handle(const HttpRequest &request, const Responder &responder);
    bool handleControl(const std::string &path, const nlohmann::json &question, HttpResponder &responder);
    void handleService(const std::string &path, const nlohmann::json &question, HttpResponder &responder);
    void takeUsage(const nlohmann::json &question, HttpResponder &responder);
    void takeEndpointOrder(const std::string &path, const nlohmann::json &question, HttpResponder &responder);
    void setInstances(const nlohmann::json &question);
    void confirm(HttpResponder &responder);
    static void answer(HttpResponder &responder, int status, const nlohmann::json &answer);

    EventLoop &loop_;
    StandinFault fault_ = StandinFault::None;
    std::chrono::milliseconds delay_{ 0 };
    std::list<std::unique_ptr<Timer>> delays_;
    std::map<std::string, std::uint64_t> counts_;

    /// Every submission of a usage report and every endpoint order, by path.
    std::map<std::string, nlohmann::json> submissions_;

    /// Endpoints ordered and not released, by the identifier of their order.
    std::map<std::string, nlohmann::json> endpoints_;

    /// What the list of instances says; it follows what was set after a lag.
    nlohmann::json instances_ = nlohmann::json::array();
    std::list<std::unique_ptr<Timer>> lags_;
    HttpServer server_;
};

} // namespace cowsliphead

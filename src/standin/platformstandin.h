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

/// Simulates the platform's interfaces for usage reports, endpoints and instances. It keeps every submission in order of arrival,
/// so that tests can detect duplicates. A task's behaviour. Thread safety: the loop's task only.
class PlatformStandin
{
public:
    /// There are no messages; the sockets drive this behaviour.
    using Message = std::monostate;

    /// Precondition: the loop outlives the stand-in.
    explicit PlatformStandin(EventLoop &loop);
    ~PlatformStandin();

    /// Port 0 selects a free port. Returns the port. Errors: ListenFailed.
    Result<std::uint16_t> listen(const std::string &address, std::uint16_t port);

    /// Does nothing, since there are no messages.
    void receive(Message message);

private:
    using Responder = std::shared_ptr<HttpResponder>;

    void handle(const HttpRequest &request, const Responder &responder);

    /// Handles the stand-in's own paths for tests. Returns false for any other path.
    bool handleControl(const std::string &path, const nlohmann::json &body, HttpResponder &responder);

    /// Handles the platform's paths.
    void handleService(const std::string &path, const nlohmann::json &body, HttpResponder &responder);
    void acceptUsage(const nlohmann::json &body, HttpResponder &responder);
    void acceptEndpointOrder(const std::string &path, const nlohmann::json &body, HttpResponder &responder);
    void setInstances(const nlohmann::json &body);

    /// Replies that a submission was accepted, unless the fault is to lose answers.
    void acknowledge(HttpResponder &responder);
    static void answer(HttpResponder &responder, int status, const nlohmann::json &body);

    EventLoop &loop_;
    StandinFault fault_ = StandinFault::None;
    std::chrono::milliseconds delay_{ 0 };
    std::list<std::unique_ptr<Timer>> delayedRequests_;
    std::map<std::string, std::uint64_t> counts_;

    /// Every submission of a usage report and every endpoint order, by path.
    std::map<std::string, nlohmann::json> submissions_;

    /// Endpoints that are ordered and not yet released, by the identifier of their order.
    std::map<std::string, nlohmann::json> endpoints_;

    /// The reported list of instances. A new list takes effect after its lag.
    nlohmann::json instances_ = nlohmann::json::array();
    std::list<std::unique_ptr<Timer>> instanceUpdates_;
    HttpServer server_;
};

} // namespace cowsliphead

#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/result.h"
#include "http/httprequest.h"
#include "http/httpserver.h"
#include "standin/enginefaults.h"
#include "standin/engineoptions.h"
#include "standin/engineorders.h"
#include "standin/enginescheduler.h"
#include "task/timer.h"

namespace cowsliphead
{

class EventLoop;

/// Simulates a model engine: answers completion requests with generated tokens, with the timing that docs/design/engine-model.md describes.
/// A task's behaviour. Thread safety: the loop's task only.
class EngineStandin
{
public:
    /// Replaces the current faults.
    using Message = std::variant<EngineFaults>;

    /// Precondition: the loop outlives the stand-in.
    EngineStandin(EventLoop &loop, EngineOptions options);
    ~EngineStandin();

    /// Port 0 selects a free port. Returns the port. Errors: ListenFailed.
    Result<std::uint16_t> listen(const std::string &address, std::uint16_t port);

    void receive(Message message);

private:
    using PendingRequest = std::pair<HttpRequest, std::shared_ptr<HttpResponder>>;

    std::unique_ptr<HttpServer> makeServer();
    void handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    void handleFault(const HttpRequest &request, HttpResponder &responder);
    void applyFaults(EngineFaults faults);
    void handleState(HttpResponder &responder) const;
    void handleCompletion(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    void answer(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    void crash();
    void restartServer();
    void answerWithoutCrossing();

    EventLoop &loop_;
    EngineOptions options_;
    EngineOrders orders_;
    EngineFaults faults_;
    std::unique_ptr<HttpServer> server_;

    /// Where to listen again after a crash.
    std::string address_;
    std::uint16_t port_ = 0;
    std::uint64_t crashes_ = 0;

    /// The request that waits for a second one to exchange answers with.
    std::unique_ptr<PendingRequest> requestToCross_;

    /// Client ports of the connections that have carried a request.
    std::set<std::uint16_t> openPorts_;

    /// Client ports of the connections on which requests get no answer, and the responders kept open for these requests.
    std::set<std::uint16_t> mutedPorts_;
    std::vector<std::shared_ptr<HttpResponder>> unanswered_;
    EngineLoad reportedLoad_;
    EngineScheduler scheduler_;
    Timer loadReportTimer_;
    Timer restartTimer_;
    Timer crossTimeout_;
};

} // namespace cowsliphead

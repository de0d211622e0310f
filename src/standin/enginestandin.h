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

/// Stands in for a model engine: answers completions with made-up tokens as docs/design/engine-model.md says. A task's behaviour.
class EngineStandin
{
public:
    /// New faults in place of those before.
    using Message = std::variant<EngineFaults>;

    /// Precondition: the loop outlives the stand-in. Thread safety: the loop's task only.
    EngineStandin(EventLoop &loop, EngineOptions options);
    ~EngineStandin();

    /// Port 0 takes a free one. Errors: ListenFailed. Thread safety: the loop's task only.
    Result<std::uint16_t> listen(const std::string &address, std::uint16_t port);

    /// Thread safety: the loop's task only.
    void receive(Message message);

private:
    using Asked = std::pair<HttpRequest, std::shared_ptr<HttpResponder>>;

    std::unique_ptr<HttpServer> makeServer();
    void handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    void handleFault(const HttpRequest &request, HttpResponder &responder);
    void bringAbout(EngineFaults faults);
    void handleState(HttpResponder &responder) const;
    void complete(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    void answer(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    void crash();
    void comeBack();
    void answerUncrossed();

    EventLoop &loop_;
    EngineOptions options_;
    EngineOrders orders_;
    EngineFaults faults_;
    std::unique_ptr<HttpServer> server_;

    /// Where to listen again after a crash.
    std::string address_;
    std::uint16_t port_ = 0;
    std::uint64_t crashes_ = 0;

    /// The request that waits for another one to be crossed with.
    std::unique_ptr<Asked> crossed_;

    /// The clients' ports of connections that carried a request, of those that are silent for good, and what stays unanswered there.
    std::set<std::uint16_t> openPorts_;
    std::set<std::uint16_t> mutePorts_;
    std::vector<std::shared_ptr<HttpResponder>> unanswered_;
    EngineLoad reported_;
    EngineScheduler scheduler_;
    Timer report_;
    Timer downTime_;
    Timer crossing_;
};

} // namespace cowsliphead

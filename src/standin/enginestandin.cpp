#include "standin/enginestandin.h"

#include <nlohmann/json.hpp>

#include "duty/orderpath.h"
#include "endpoint/endpointheaders.h"
#include "http/httprequest.h"
#include "http/httpresponder.h"
#include "http/httpstatus.h"
#include "standin/engineanswer.h"
#include "standin/enginefaultreader.h"
#include "task/eventloop.h"

namespace cowsliphead
{

namespace
{

/// Paths of the stand-in's own control interface for tests.
constexpr const char *FaultPath = "/standin/fault";
constexpr const char *StatePath = "/standin/state";

/// How long a request waits for a second one to exchange answers with.
constexpr std::chrono::milliseconds CrossTimeout{ 100 };

bool isCompletion(const HttpRequest &request)
{
    return request.method_ == HttpMethod::Post && (request.path_ == "/v1/chat/completions" || request.path_ == "/v1/completions");
}

void refuse(HttpResponder &responder, int status, const std::string &requestId, const char *message)
{
    const nlohmann::json body = { { "error", { { "message", message } } } };
    responder.reply(HttpResponseHead{ status, { { endpointheaders::RequestId, requestId } } }, body.dump());
}

} // namespace

EngineStandin::EngineStandin(EventLoop &loop, EngineOptions options)
    : loop_(loop)
    , options_(std::move(options))
    , orders_(options_.checksFencing_)
    , server_(makeServer())
    , scheduler_(loop, options_, faults_, [this] { loop_.defer([this] { crash(); }); })
    , loadReportTimer_(loop, [this] { reportedLoad_ = scheduler_.load(); })
    , restartTimer_(loop, [this] { restartServer(); })
    , crossTimeout_(loop, [this] { answerWithoutCrossing(); })
{
    loadReportTimer_.startRepeating(options_.loadReportInterval_);
}

EngineStandin::~EngineStandin() = default;

Result<std::uint16_t> EngineStandin::listen(const std::string &address, std::uint16_t port)
{
    const auto bound = server_->listen(address, port);
    if (bound) {
        address_ = address;
        port_ = *bound;
    }
    return bound;
}

void EngineStandin::receive(Message message)
{
    applyFaults(std::get<EngineFaults>(std::move(message)));
}

std::unique_ptr<HttpServer> EngineStandin::makeServer()
{
    return std::make_unique<HttpServer>(loop_,
                                        [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) { handle(request, responder); });
}

void EngineStandin::handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    if (request.path_ == OrderPath) {
        orders_.handle(request, *responder);
    } else if (request.path_ == FaultPath) {
        handleFault(request, *responder);
    } else if (request.path_ == StatePath) {
        handleState(*responder);
    } else if (isCompletion(request)) {
        handleCompletion(request, responder);
    } else {
        refuse(*responder, httpstatus::NotFound, headerValue(request.headers_, endpointheaders::RequestId), "unknown path");
    }
}

void EngineStandin::handleFault(const HttpRequest &request, HttpResponder &responder)
{
    auto faults = readEngineFaults(request.body_);
    if (!faults) {
        refuse(responder, httpstatus::BadRequest, {}, "no faults in JSON");
        return;
    }
    applyFaults(std::move(*faults));
    responder.reply(HttpResponseHead{}, "{}");
}

void EngineStandin::applyFaults(EngineFaults faults)
{
    faults_ = std::move(faults);
    if (faults_.mutesOpenConnections_) {
        mutedPorts_ = openPorts_;
    }
}

void EngineStandin::handleState(HttpResponder &responder) const
{
    const auto &load = scheduler_.load();
    const nlohmann::json body = {
        { "running", load.running_ },     { "waiting", load.waiting_ },     { "usedPieces", load.usedPieces_ },
        { "cancelled", load.cancelled_ }, { "completed", load.completed_ }, { "crashes", crashes_ },
    };
    responder.reply(HttpResponseHead{ httpstatus::Ok, { { "Content-Type", "application/json" } } }, body.dump());
}

void EngineStandin::handleCompletion(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    openPorts_.insert(responder->clientPort());
    if (mutedPorts_.contains(responder->clientPort())) {
        unanswered_.push_back(responder);
    } else if (!faults_.crossesNextAnswers_) {
        answer(request, responder);
    } else if (!requestToCross_) {
        requestToCross_ = std::make_unique<PendingRequest>(request, responder);
        crossTimeout_.startOnce(CrossTimeout);
    } else {
        const auto other = std::move(requestToCross_);
        faults_.crossesNextAnswers_ = false;
        answer(other->first, responder);
        answer(request, other->second);
    }
}

void EngineStandin::answer(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    auto engineRequest = readEngineRequest(request, options_);
    if (!engineRequest) {
        refuse(*responder, httpstatus::BadRequest, headerValue(request.headers_, endpointheaders::RequestId), "no completion");
        return;
    }
    if (faults_.refusals_ > 0) {
        --faults_.refusals_;
        refuse(*responder, httpstatus::ServiceUnavailable, engineRequest->requestId_, "refused");
        return;
    }
    if (faults_.wrongIds_ > 0) {
        --faults_.wrongIds_;
        engineRequest->requestId_ += "0";
    }
    if (faults_.ignoredResumes_ > 0 && engineRequest->resumeFrom_ > 0) {
        --faults_.ignoredResumes_;
        engineRequest->resumeFrom_ = 0;
    }
    auto answer = std::make_unique<EngineAnswer>(std::move(*engineRequest), reportedLoad_.running_ + reportedLoad_.waiting_, responder);
    answer->delay(faults_.lateSteps_);
    if (faults_.truncations_ > 0) {
        --faults_.truncations_;
        answer->truncate();
    }
    if (faults_.silentAfterTokens_) {
        answer->stopSendingAfter(*faults_.silentAfterTokens_);
    }
    scheduler_.add(std::move(answer));
}

void EngineStandin::crash()
{
    ++crashes_;
    scheduler_.clear();
    requestToCross_.reset();
    unanswered_.clear();
    openPorts_.clear();
    mutedPorts_.clear();
    server_.reset();
    restartTimer_.startOnce(faults_.downTime_);
}

void EngineStandin::answerWithoutCrossing()
{
    if (const auto alone = std::exchange(requestToCross_, nullptr)) {
        answer(alone->first, alone->second);
    }
}

void EngineStandin::restartServer()
{
    server_ = makeServer();
    if (!server_->listen(address_, port_)) {
        // The port may still be held by a closing connection.
        restartTimer_.startOnce(faults_.downTime_);
    }
}

} // namespace cowsliphead

#include "standin/servicestandin.h"

#include <nlohmann/json.hpp>

#include "endpoint/endpointheaders.h"
#include "http/httprequest.h"
#include "http/httpresponder.h"
#include "http/httpstatus.h"

namespace cowsliphead
{

namespace
{

/// Path of the stand-in's own interface for tests, which returns the number of runs.
constexpr const char *RunsPath = "/standin/runs";

} // namespace

ServiceStandin::ServiceStandin(EventLoop &loop, std::string name)
    : name_(std::move(name))
    , server_(loop, [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) { handle(request, *responder); })
{
}

ServiceStandin::~ServiceStandin() = default;

Result<std::uint16_t> ServiceStandin::listen(const std::string &address, std::uint16_t port)
{
    return server_.listen(address, port);
}

void ServiceStandin::receive(Message /*message*/)
{
}

void ServiceStandin::handle(const HttpRequest &request, HttpResponder &responder)
{
    if (request.path_ == RunsPath) {
        responder.reply(HttpResponseHead{ httpstatus::Ok, { { "Content-Type", "application/json" } } }, nlohmann::json(runs_).dump());
        return;
    }
    const auto runs = ++runs_[request.body_];
    nlohmann::json headers = nlohmann::json::object();
    for (const auto &[name, value] : request.headers_) {
        headers[name] = value;
    }
    const nlohmann::json body = {
        { "service", name_ },      { "method", httpMethodName(request.method_) },
        { "path", request.path_ }, { "query", request.query_ },
        { "body", request.body_ }, { "runs", runs },
        { "headers", headers },
    };
    const auto requestId = headerValue(request.headers_, endpointheaders::RequestId);
    responder.reply(HttpResponseHead{ httpstatus::Ok, { { "Content-Type", "application/json" }, { endpointheaders::RequestId, requestId } } }, body.dump());
}

} // namespace cowsliphead

#include "standin/platformstandin.h"

#include "http/httprequest.h"
#include "http/httpresponder.h"
#include "http/httpstatus.h"
#include "usage/platformpaths.h"
#include "usage/reportcodec.h"

namespace cowsliphead
{

PlatformStandin::PlatformStandin(EventLoop &loop)
    : loop_(loop)
    , submissions_({ { platformpaths::Usage, nlohmann::json::array() },
                     { platformpaths::OrderEndpoint, nlohmann::json::array() },
                     { platformpaths::ReleaseEndpoint, nlohmann::json::array() } })
    , server_(loop, [this](const HttpRequest &request, const Responder &responder) { handle(request, responder); })
{
}

PlatformStandin::~PlatformStandin() = default;

Result<std::uint16_t> PlatformStandin::listen(const std::string &address, std::uint16_t port)
{
    return server_.listen(address, port);
}

void PlatformStandin::receive(Message /*message*/)
{
}

void PlatformStandin::handle(const HttpRequest &request, const Responder &responder)
{
    const auto body = nlohmann::json::parse(request.body_, nullptr, false);
    if (handleControl(request.path_, body, *responder)) {
        return;
    }
    ++counts_[request.path_];
    if (fault_ == StandinFault::Down) {
        responder->abort();
        return;
    }
    if (fault_ != StandinFault::Slow) {
        handleService(request.path_, body, *responder);
        return;
    }
    auto &timer =
        delayedRequests_.emplace_back(std::make_unique<Timer>(loop_, [this, path = request.path_, body, responder] { handleService(path, body, *responder); }));
    timer->startOnce(delay_);
}

bool PlatformStandin::handleControl(const std::string &path, const nlohmann::json &body, HttpResponder &responder)
{
    if (path == platformpaths::Submissions) {
        answer(responder, httpstatus::Ok, submissions_);
    } else if (path == platformpaths::Counts) {
        answer(responder, httpstatus::Ok, counts_);
    } else if (path == platformpaths::Fault && body.is_object()) {
        fault_ = standinFaultFromName(body.value("fault", "none"));
        delay_ = std::chrono::milliseconds(body.value("delayMs", 0));
        answer(responder, httpstatus::Ok, nlohmann::json::object());
    } else if (path == platformpaths::SetInstances && body.is_object()) {
        setInstances(body);
        answer(responder, httpstatus::Ok, nlohmann::json::object());
    } else {
        return false;
    }
    return true;
}

void PlatformStandin::handleService(const std::string &path, const nlohmann::json &body, HttpResponder &responder)
{
    if (path == platformpaths::Instances) {
        answer(responder, httpstatus::Ok, instances_);
    } else if (path == platformpaths::Usage) {
        acceptUsage(body, responder);
    } else if (path == platformpaths::OrderEndpoint || path == platformpaths::ReleaseEndpoint) {
        acceptEndpointOrder(path, body, responder);
    } else {
        answer(responder, httpstatus::NotFound, { { "error", "path" } });
    }
}

void PlatformStandin::acceptUsage(const nlohmann::json &body, HttpResponder &responder)
{
    if (!reportcodec::reportFromJson(body)) {
        answer(responder, httpstatus::BadRequest, { { "error", "malformed" } });
        return;
    }
    submissions_[platformpaths::Usage].push_back(body);
    acknowledge(responder);
}

void PlatformStandin::acceptEndpointOrder(const std::string &path, const nlohmann::json &body, HttpResponder &responder)
{
    if (!body.is_object() || !body.contains("id") || !body["id"].is_string()) {
        answer(responder, httpstatus::BadRequest, { { "error", "malformed" } });
        return;
    }
    submissions_[path].push_back(body);
    const auto id = body["id"].get<std::string>();
    if (path == platformpaths::OrderEndpoint) {
        endpoints_.try_emplace(id, body);
    } else {
        endpoints_.erase(id);
    }
    acknowledge(responder);
}

void PlatformStandin::setInstances(const nlohmann::json &body)
{
    const auto list = body.value("instances", nlohmann::json::array());
    auto &timer = instanceUpdates_.emplace_back(std::make_unique<Timer>(loop_, [this, list] { instances_ = list; }));
    timer->startOnce(std::chrono::milliseconds(body.value("lagMs", 0)));
}

void PlatformStandin::acknowledge(HttpResponder &responder)
{
    if (fault_ == StandinFault::LoseAnswers) {
        responder.abort();
        return;
    }
    answer(responder, httpstatus::Ok, nlohmann::json::object());
}

void PlatformStandin::answer(HttpResponder &responder, int status, const nlohmann::json &body)
{
    responder.reply(HttpResponseHead{ status, { { "Content-Type", "application/json" } } }, body.dump());
}

} // namespace cowsliphead

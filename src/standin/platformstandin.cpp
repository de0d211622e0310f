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
    const auto question = nlohmann::json::parse(request.body_, nullptr, false);
    if (handleControl(request.path_, question, *responder)) {
        return;
    }
    ++counts_[request.path_];
    if (fault_ == StandinFault::Down) {
        responder->abort();
        return;
    }
    if (fault_ != StandinFault::Slow) {
        handleService(request.path_, question, *responder);
        return;
    }
    auto &timer =
        delays_.emplace_back(std::make_unique<Timer>(loop_, [this, path = request.path_, question, responder] { handleService(path, question, *responder); }));
    timer->startOnce(delay_);
}

bool PlatformStandin::handleControl(const std::string &path, const nlohmann::json &question, HttpResponder &responder)
{
    if (path == platformpaths::Submissions) {
        answer(responder, httpstatus::Ok, submissions_);
    } else if (path == platformpaths::Counts) {
        answer(responder, httpstatus::Ok, counts_);
    } else if (path == platformpaths::Fault && question.is_object()) {
        fault_ = faultFromName(question.value("fault", "none"));
        delay_ = std::chrono::milliseconds(question.value("delayMs", 0));
        answer(responder, httpstatus::Ok, nlohmann::json::object());
    } else if (path == platformpaths::SetInstances && question.is_object()) {
        setInstances(question);
        answer(responder, httpstatus::Ok, nlohmann::json::object());
    } else {
        return false;
    }
    return true;
}

void PlatformStandin::handleService(const std::string &path, const nlohmann::json &question, HttpResponder &responder)
{
    if (path == platformpaths::Instances) {
        answer(responder, httpstatus::Ok, instances_);
    } else if (path == platformpaths::Usage) {
        takeUsage(question, responder);
    } else if (path == platformpaths::OrderEndpoint || path == platformpaths::ReleaseEndpoint) {
        takeEndpointOrder(path, question, responder);
    } else {
        answer(responder, httpstatus::NotFound, { { "error", "path" } });
    }
}

void PlatformStandin::takeUsage(const nlohmann::json &question, HttpResponder &responder)
{
    if (!reportcodec::reportFromJson(question)) {
        answer(responder, httpstatus::BadRequest, { { "error", "malformed" } });
        return;
    }
    submissions_[platformpaths::Usage].push_back(question);
    confirm(responder);
}

void PlatformStandin::takeEndpointOrder(const std::string &path, const nlohmann::json &question, HttpResponder &responder)
{
    if (!question.is_object() || !question.contains("id") || !question["id"].is_string()) {
        answer(responder, httpstatus::BadRequest, { { "error", "malformed" } });
        return;
    }
    submissions_[path].push_back(question);
    const auto id = question["id"].get<std::string>();
    if (path == platformpaths::OrderEndpoint) {
        endpoints_.try_emplace(id, question);
    } else {
        endpoints_.erase(id);
    }
    confirm(responder);
}

void PlatformStandin::setInstances(const nlohmann::json &question)
{
    const auto list = question.value("instances", nlohmann::json::array());
    auto &lag = lags_.emplace_back(std::make_unique<Timer>(loop_, [this, list] { instances_ = list; }));
    lag->startOnce(std::chrono::milliseconds(question.value("lagMs", 0)));
}

void PlatformStandin::confirm(HttpResponder &responder)
{
    if (fault_ == StandinFault::LoseAnswers) {
        responder.abort();
        return;
    }
    answer(responder, httpstatus::Ok, nlohmann::json::object());
}

void PlatformStandin::answer(HttpResponder &responder, int status, const nlohmann::json &answer)
{
    responder.reply(HttpResponseHead{ status, { { "Content-Type", "application/json" } } }, answer.dump());
}

} // namespace cowsliphead

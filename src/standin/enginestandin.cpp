#include "standin/enginestandin.h"

#include "duty/orderpath.h"
#include "http/httprequest.h"
#include "http/httpresponder.h"
#include "http/httpstatus.h"
#include "standin/engineanswer.h"
#include "task/eventloop.h"

namespace cowsliphead
{

EngineStandin::EngineStandin(EventLoop &loop, EngineOptions options)
    : loop_(loop)
    , options_(std::move(options))
    , orders_(options_.checksFencing_)
    , server_(loop, [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) { handle(request, responder); })
{
}

EngineStandin::~EngineStandin() = default;

Result<std::uint16_t> EngineStandin::listen(const std::string &address, std::uint16_t port)
{
    return server_.listen(address, port);
}

void EngineStandin::receive(Message /*message*/)
{
}

void EngineStandin::handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    if (request.path_ == OrderPath) {
        orders_.handle(request, *responder);
        return;
    }
    const bool isCompletion = request.path_ == "/v1/chat/completions" || request.path_ == "/v1/completions";
    if (!isCompletion || request.method_ != HttpMethod::Post) {
        responder->reply(HttpResponseHead{ httpstatus::NotFound, {} }, R"({"error":{"message":"unknown path"}})");
        return;
    }
    const auto place = answers_.insert(answers_.end(), nullptr);
    // The answer ends inside its own timer, so it is destroyed in a later turn.
    const auto forget = [this, place] { loop_.defer([this, place] { answers_.erase(place); }); };
    *place = std::make_unique<EngineAnswer>(loop_, options_, responder, forget);
    (*place)->start(request);
}

} // namespace cowsliphead

#include "serve/servebehaviour.h"

#include <random>
#include <utility>

#include <nlohmann/json.hpp>

#include "caller/callerexchange.h"
#include "caller/errorresponse.h"
#include "caller/requestreader.h"
#include "core/errorcode.h"
#include "core/randomtext.h"
#include "decide/authorization.h"
#include "decide/requestplanner.h"
#include "http/httprequest.h"
#include "http/httpstatus.h"
#include "records/recordset.h"
#include "serve/activerequest.h"
#include "task/eventloop.h"

namespace cowsliphead
{

namespace
{

constexpr int IncarnationBytes = 8;

}

ServeBehaviour::ServeBehaviour(EventLoop &loop, const ServeSettings &settings)
    : settings_(settings)
    , context_{ .loop_ = loop,
                .clock_ = {},
                .records_ = std::make_shared<const RecordSet>(),
                .pool_ = EndpointPool(loop),
                .chooser_ = EndpointChooser(std::random_device()()),
                .health_ = {},
                .quarantine_ = Quarantine(),
                .isolation_ = Isolation(loop),
                .failureDomain_ = settings.failureDomain_,
                .incarnation_ = settings.instance_.value() + "-" + randomHex(IncarnationBytes) }
    , server_(loop, settings.limits_, [this](HttpRequest request, const std::shared_ptr<CallerExchange> &exchange) { handle(std::move(request), exchange); })
{
    context_.pool_.onIdle([this](const EndpointId &endpoint) { context_.isolation_.endpointIdle(endpoint); });
}

ServeBehaviour::~ServeBehaviour() = default;

Result<std::uint16_t> ServeBehaviour::listen()
{
    return server_.listen(settings_.address_, settings_.port_);
}

void ServeBehaviour::receive(Message message)
{
    std::visit([this](auto known) { take(std::move(known)); }, std::move(message));
}

void ServeBehaviour::handle(HttpRequest request, const std::shared_ptr<CallerExchange> &exchange)
{
    if (isDraining_) {
        refuse(*exchange, make_error_code(ErrorCode::Draining));
        return;
    }
    if (active_.size() >= settings_.limits_.maxConcurrentRequests_) {
        refuse(*exchange, make_error_code(ErrorCode::AccountOverLimit));
        return;
    }
    if (request.path_ == "/v1/models" && request.method_ == HttpMethod::Get) {
        listModels(request, *exchange);
        return;
    }
    const auto facts = readRequestFacts(request);
    if (!facts) {
        refuse(*exchange, facts.error());
        return;
    }
    begin(*facts, std::move(request), exchange);
}

void ServeBehaviour::begin(const RequestFacts &facts, HttpRequest request, const std::shared_ptr<CallerExchange> &exchange)
{
    auto plan = planRequest(*context_.records_, facts, context_.clock_.now());
    if (!plan) {
        refuse(*exchange, plan.error());
        return;
    }
    const auto place = active_.insert(active_.end(), nullptr);
    *place = std::make_unique<ActiveRequest>(context_, std::move(*plan), facts, std::move(request), exchange);
    (*place)->start([this, place] {
        // The request ends inside its own callbacks, so it is destroyed in a later turn.
        context_.loop_.defer([this, place] { active_.erase(place); });
    });
}

void ServeBehaviour::refuse(CallerExchange &exchange, std::error_code code) const
{
    exchange.reply(errorHead(code, Outcome::NotRun), errorBody(code));
}

void ServeBehaviour::listModels(const HttpRequest &request, CallerExchange &exchange) const
{
    const auto facts = readRequestFacts(request);
    const auto account = authorize(*context_.records_, facts->key_);
    if (!account) {
        refuse(exchange, account.error());
        return;
    }
    auto models = nlohmann::json::array();
    for (const auto *model : context_.records_->allOf<ModelRecord>()) {
        models.push_back({ { "id", model->model_.value() }, { "object", "model" }, { "created", 0 }, { "owned_by", "cowsliphead" } });
    }
    const nlohmann::json body = { { "object", "list" }, { "data", models } };
    const HttpResponseHead head{ httpstatus::Ok, { { "Content-Type", "application/json" }, { OutcomeHeader, outcomeName(Outcome::Run) } } };
    exchange.reply(head, body.dump());
}

void ServeBehaviour::take(RecordSnapshot records)
{
    context_.records_ = std::move(records);
}

void ServeBehaviour::take(DrainRequest /*request*/)
{
    isDraining_ = true;
    server_.stopListening();
    server_.onIdle([this] { context_.loop_.defer([this] { stopIfDrained(); }); });
    stopIfDrained();
}

void ServeBehaviour::stopIfDrained()
{
    if (isDraining_ && server_.isIdle()) {
        context_.loop_.stop();
    }
}

} // namespace cowsliphead

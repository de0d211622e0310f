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
#include "decide/claimrefusal.h"
#include "decide/requestplanner.h"
#include "decide/staleness.h"
#include "http/httprequest.h"
#include "http/httpstatus.h"
#include "logs/log.h"
#include "metrics/gauge.h"
#include "records/recordset.h"
#include "serve/activerequest.h"
#include "task/eventloop.h"

namespace cowsliphead
{

namespace
{

constexpr int IncarnationBytes = 8;

/// Where the platform's balancer asks whether to send new connections here.
constexpr const char *HealthPath = "/healthz";

} // namespace

ServeBehaviour::ServeBehaviour(EventLoop &loop, const ServeSettings &settings, const ServeLinks &links)
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
                .incarnation_ = settings.instance_.value() + "-" + randomHex(IncarnationBytes),
                .claims_ = ClaimClient(links.claimRequests_, links.claimEnds_),
                .retryBudget_ = {},
                .metrics_ = {},
                .spans_ = links.spans_,
                .usage_ = links.usage_ }
    , drain_(settings.drain_)
    , drainCheck_(loop, [this] { checkDrain(); })
    , server_(loop, settings.limits_, [this](HttpRequest request, const std::shared_ptr<CallerExchange> &exchange) { handle(std::move(request), exchange); })
{
    context_.pool_.onIdle([this](const EndpointId &endpoint) { context_.isolation_.endpointIdle(endpoint); });
}

ServeBehaviour::~ServeBehaviour() = default;

Result<std::uint16_t> ServeBehaviour::listen()
{
    if (const auto loaded = loadTls(); !loaded) {
        return tl::unexpected(loaded.error());
    }
    return server_.listen(settings_.address_, settings_.port_);
}

void ServeBehaviour::receive(Message message)
{
    std::visit([this](auto known) { take(std::move(known)); }, std::move(message));
}

void ServeBehaviour::handle(HttpRequest request, const std::shared_ptr<CallerExchange> &exchange)
{
    if (request.path_ == HealthPath) {
        health(*exchange);
        return;
    }
    drain_.requestArrived(context_.clock_.now());
    if (drain_.isDraining()) {
        exchange->closeConnectionAfter();
    }
    if (active_.size() >= settings_.limits_.maxConcurrentRequests_) {
        refuse(request, *exchange, make_error_code(ErrorCode::AccountOverLimit));
        return;
    }
    if (request.path_ == "/v1/models" && request.method_ == HttpMethod::Get) {
        listModels(request, *exchange);
        return;
    }
    const auto facts = readRequestFacts(request);
    if (!facts) {
        refuse(request, *exchange, facts.error());
        return;
    }
    begin(*facts, std::move(request), exchange);
}

void ServeBehaviour::begin(const RequestFacts &facts, HttpRequest request, const std::shared_ptr<CallerExchange> &exchange)
{
    auto plan = planRequest(*context_.records_, facts, context_.clock_.now());
    if (!plan) {
        refuse(request, *exchange, plan.error());
        return;
    }
    const auto sinceConfirmed = context_.clock_.now() - context_.recordsConfirmedAt_;
    if (const auto isFresh = checkStaleness(*context_.records_, plan->account_, sinceConfirmed); !isFresh) {
        refuse(request, *exchange, isFresh.error());
        return;
    }
    context_.retryBudget_.requestArrived(context_.records_->policy().retryPercent_);
    const auto place = active_.insert(active_.end(), nullptr);
    *place = std::make_unique<ActiveRequest>(context_, std::move(*plan), facts, std::move(request), exchange);
    (*place)->start([this, place] {
        // The request ends inside its own callbacks, so it is destroyed in a later turn.
        context_.loop_.defer([this, place] { active_.erase(place); });
    });
}

void ServeBehaviour::refuse(const HttpRequest &request, CallerExchange &exchange, std::error_code code)
{
    const bool hasIdempotencyKey = !headerValue(request.headers_, "Idempotency-Key").empty();
    const auto outcome = unclaimedOutcome(hasIdempotencyKey);
    context_.metrics_.requests_.increment({ { "account", "" }, { "outcome", outcomeName(outcome) }, { "error", code.message() } });
    exchange.reply(errorHead(code, outcome), errorBody(code));
}

void ServeBehaviour::listModels(const HttpRequest &request, CallerExchange &exchange)
{
    const auto facts = readRequestFacts(request);
    if (!facts) {
        refuse(request, exchange, facts.error());
        return;
    }
    const auto account = authorize(*context_.records_, facts->key_);
    if (!account) {
        refuse(request, exchange, account.error());
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

void ServeBehaviour::take(const ClaimVerdict &verdict)
{
    context_.claims_.take(verdict);
}

void ServeBehaviour::take(RecordsConfirmed confirmation)
{
    context_.recordsConfirmedAt_ = confirmation.asOf_;
}

void ServeBehaviour::take(DrainRequest /*request*/)
{
    drain_.begin(context_.clock_.now());
    server_.onIdle([this] { context_.loop_.defer([this] { checkDrain(); }); });
    checkDrain();
}

void ServeBehaviour::take(const MetricsQuery &query)
{
    const auto inFlight = gaugeText("cowsliphead_requests_in_flight", "Requests that have not ended.", active_.size());
    const auto revision = gaugeText("cowsliphead_records_revision", "Revision of the records in force.", context_.records_->revision());
    query.answerTo_.send(MetricsReport{ query.query_, context_.metrics_.toText() + inFlight + revision });
}

void ServeBehaviour::take(TlsReload /*request*/)
{
    const auto loaded = loadTls();
    logEvent(loaded ? LogEvent::TlsReloaded : LogEvent::TlsReloadFailed);
}

Result<void> ServeBehaviour::loadTls()
{
    if (settings_.tls_.isEmpty()) {
        return {};
    }
    auto context = TlsContext::load(settings_.tls_);
    if (!context) {
        return tl::unexpected(context.error());
    }
    server_.useTls(std::move(*context));
    return {};
}

void ServeBehaviour::health(CallerExchange &exchange) const
{
    const bool isLeaving = drain_.isDraining();
    const HttpResponseHead head{ isLeaving ? httpstatus::ServiceUnavailable : httpstatus::Ok, { { "Content-Type", "application/json" } } };
    exchange.reply(head, isLeaving ? R"({"status":"draining"})" : R"({"status":"serving"})");
}

void ServeBehaviour::checkDrain()
{
    const auto now = context_.clock_.now();
    if (drain_.mayEnd(now, server_.isIdle())) {
        context_.loop_.stop();
        return;
    }
    if (drain_.mayCloseListener(now)) {
        server_.stopListening();
    }
    if (const auto wait = drain_.nextCheck(now, server_.isIdle())) {
        // Rounded up, so that the check does not come too early and repeat at once.
        drainCheck_.startOnce(std::chrono::ceil<std::chrono::milliseconds>(*wait));
    }
}

} // namespace cowsliphead

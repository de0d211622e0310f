#include "serve/servebehaviour.h"

#include <random>
#include <utility>

#include <nlohmann/json.hpp>

#include "caller/callerexchange.h"
#include "caller/errorresponse.h"
#include "caller/requestreader.h"
#include "core/errorcode.h"
#include "core/randomhex.h"
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

/// Path that the platform's load balancer polls to decide whether to send new connections to this daemon.
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
                .isolationQueue_ = IsolationQueue(loop),
                .failureDomain_ = settings.failureDomain_,
                .incarnation_ = settings.instance_.value() + "-" + randomHex(IncarnationBytes),
                .claims_ = ClaimClient(links.claimRequests_, links.claimEnds_),
                .retryBudget_ = {},
                .metrics_ = {},
                .spans_ = links.spans_,
                .usage_ = links.usage_ }
    , drain_(settings.drain_)
    , drainCheckTimer_(loop, [this] { checkDrain(); })
    , server_(
          loop, settings.limits_, [this](HttpRequest request, const std::shared_ptr<CallerExchange> &exchange) { handleRequest(std::move(request), exchange); })
{
    context_.pool_.onIdle([this](const EndpointId &endpoint) { context_.isolationQueue_.onEndpointIdle(endpoint); });
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
    std::visit([this](auto typedMessage) { onMessage(std::move(typedMessage)); }, std::move(message));
}

void ServeBehaviour::handleRequest(HttpRequest request, const std::shared_ptr<CallerExchange> &exchange)
{
    if (request.path_ == HealthPath) {
        replyWithHealth(*exchange);
        return;
    }
    drain_.requestArrived(context_.clock_.now());
    if (drain_.isDraining()) {
        exchange->disableKeepAlive();
    }
    if (activeRequests_.size() >= settings_.limits_.maxConcurrentRequests_) {
        reject(request, *exchange, make_error_code(ErrorCode::AccountOverLimit));
        return;
    }
    if (request.path_ == "/v1/models" && request.method_ == HttpMethod::Get) {
        replyWithModels(request, *exchange);
        return;
    }
    const auto facts = readRequestFacts(request);
    if (!facts) {
        reject(request, *exchange, facts.error());
        return;
    }
    startRequest(*facts, std::move(request), exchange);
}

void ServeBehaviour::startRequest(const RequestFacts &facts, HttpRequest request, const std::shared_ptr<CallerExchange> &exchange)
{
    auto plan = planRequest(*context_.records_, facts, context_.clock_.now());
    if (!plan) {
        reject(request, *exchange, plan.error());
        return;
    }
    if (drain_.isDraining() && !drain_.accepts(plan->traits_.deadline_, context_.clock_.now())) {
        reject(request, *exchange, make_error_code(ErrorCode::Draining));
        return;
    }
    const auto sinceConfirmed = context_.clock_.now() - context_.recordsConfirmedAt_;
    if (const auto isFresh = checkStaleness(*context_.records_, plan->account_, sinceConfirmed); !isFresh) {
        reject(request, *exchange, isFresh.error());
        return;
    }
    context_.retryBudget_.requestArrived(context_.records_->policy().retryPercent_);
    const auto position = activeRequests_.insert(activeRequests_.end(), nullptr);
    *position = std::make_unique<ActiveRequest>(context_, std::move(*plan), facts, std::move(request), exchange);
    (*position)->start([this, position] {
        // onEnd is called from within the request's own callbacks, so the request is destroyed in a later iteration of the loop.
        context_.loop_.defer([this, position] { activeRequests_.erase(position); });
    });
}

void ServeBehaviour::reject(const HttpRequest &request, CallerExchange &exchange, std::error_code code)
{
    const bool hasIdempotencyKey = !headerValue(request.headers_, "Idempotency-Key").empty();
    const auto outcome = unclaimedOutcome(hasIdempotencyKey);
    context_.metrics_.requests_.increment({ { "account", "" }, { "outcome", outcomeName(outcome) }, { "error", code.message() } });
    exchange.reply(errorHead(code, outcome), errorBody(code));
}

void ServeBehaviour::replyWithModels(const HttpRequest &request, CallerExchange &exchange)
{
    const auto facts = readRequestFacts(request);
    if (!facts) {
        reject(request, exchange, facts.error());
        return;
    }
    const auto account = authorize(*context_.records_, facts->key_);
    if (!account) {
        reject(request, exchange, account.error());
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

void ServeBehaviour::onMessage(RecordSnapshot records)
{
    context_.records_ = std::move(records);
}

void ServeBehaviour::onMessage(const ClaimVerdict &verdict)
{
    context_.claims_.deliver(verdict);
}

void ServeBehaviour::onMessage(RecordsConfirmed confirmation)
{
    context_.recordsConfirmedAt_ = confirmation.asOf_;
}

void ServeBehaviour::onMessage(DrainRequest /*request*/)
{
    drain_.begin(context_.clock_.now());
    server_.onIdle([this] { context_.loop_.defer([this] { checkDrain(); }); });
    checkDrain();
}

void ServeBehaviour::onMessage(const MetricsQuery &query)
{
    const auto inFlight = gaugeText("cowsliphead_requests_in_flight", "Requests that have not ended.", activeRequests_.size());
    const auto revision = gaugeText("cowsliphead_records_revision", "Revision of the records in force.", context_.records_->revision());
    query.answerTo_.send(MetricsReport{ query.query_, context_.metrics_.toText() + inFlight + revision });
}

void ServeBehaviour::onMessage(TlsReload /*request*/)
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

void ServeBehaviour::replyWithHealth(CallerExchange &exchange) const
{
    const bool isDraining = drain_.isDraining();
    const HttpResponseHead head{ isDraining ? httpstatus::ServiceUnavailable : httpstatus::Ok, { { "Content-Type", "application/json" } } };
    exchange.reply(head, isDraining ? R"({"status":"draining"})" : R"({"status":"serving"})");
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
    if (drain_.isEnding(now)) {
        for (const auto &request : activeRequests_) {
            request->onProcessStopping();
        }
    }
    if (const auto wait = drain_.nextCheck(now, server_.isIdle())) {
        // Rounded up, since a timer that fires too early would be rearmed with a delay of zero.
        drainCheckTimer_.startOnce(std::chrono::ceil<std::chrono::milliseconds>(*wait));
    }
}

} // namespace cowsliphead

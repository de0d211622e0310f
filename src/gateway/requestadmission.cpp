#include "gateway/requestadmission.h"

#include <random>
#include <utility>

#include "gateway/admissionlog.h"
#include "gateway/firsteventestimator.h"
#include "gateway/gatewaycontext.h"
#include "gateway/requestmetadata.h"
#include "gateway/requestrouter.h"

namespace cowsliphead
{

namespace
{

/// A caller that loses its patience must have the refusal by then, which takes a few round trips from a loaded gateway.
constexpr std::chrono::milliseconds WithdrawalMargin{ 50 };

} // namespace

RequestAdmission::RequestAdmission(
    GatewayContext &context, const RequestMetadata &metadata, const AdmittedRequest &admitted, const ServiceSpec &service, MonotonicTime arrivedAt)
    : context_(context)
    , metadata_(metadata)
    , admitted_(admitted)
    , service_(service.name_)
    , isPlain_(!service.engine_)
    , arrivedAt_(arrivedAt)
{
}

RequestAdmission::~RequestAdmission()
{
    withdraw();
}

bool RequestAdmission::appliesTo(const Configuration &configuration, const ServiceName &service)
{
    const auto found = configuration.services_.find(service);
    if (found == configuration.services_.end() || !configuration.usesAdaptiveServing()) {
        return false;
    }
    return !found->second.engine_ || found->second.engine_->hasCompactCache();
}

AdmissionDecision RequestAdmission::decide(const RequestRouter &router, bool isPromptRead, bool mayHaveRun, QueueEvents events)
{
    facts_ = currentFacts(mayHaveRun);
    if (isPlain_) {
        return queueOrSend(std::move(events));
    }
    // A short prompt is read between the steps of an engine's streams and waits in no queue of prompts.
    if (router.isLongPrompt() && !isPromptRead && !mayHaveRun) {
        facts_.expected_ = firstEventEstimate(router.readingEngines(), router.ownTokens(), context_.clock_.now());
    }
    decision_ = admissionDecision(facts_);
    if (decision_.kind_ == AdmissionKind::Refuse) {
        refused(ErrorCode::FirstEventTooLate);
    } else {
        sent();
    }
    return decision_;
}

AdmissionDecision RequestAdmission::queueOrSend(QueueEvents events)
{
    auto &queue = context_.serviceQueueOf(service_);
    ticket_ = queue.issueTicket();
    QueuedRequest request{ .account_ = account(),
                           .priority_ = admitted_.route_->priority_,
                           .deadline_ = context_.clock_.now() + latestFirstEvent(facts_.timeLimit()),
                           .events_ = { .onRoom_ =
                                            [this, onRoom = std::move(events.onRoom_)] {
                                                sent();
                                                onRoom();
                                            },
                                        .onTimedOut_ =
                                            [this, onTimedOut = std::move(events.onTimedOut_)] {
                                                waitEnded();
                                                onTimedOut();
                                            } } };
    if (admitted_.account_ != nullptr) {
        request.priority_ = admitted_.account_->priority_.value_or(request.priority_);
    }
    decision_ = queue.arrive(ticket_, std::move(request), facts_);
    switch (decision_.kind_) {
    case AdmissionKind::Send:
        sent();
        break;
    case AdmissionKind::Wait:
        context_.metrics_.admissions_.increment({ { "result", "queued" }, { "service", service_.value() } });
        break;
    case AdmissionKind::Refuse:
        refused(ErrorCode::QueueTooLong);
        break;
    }
    return decision_;
}

AccountId RequestAdmission::account() const
{
    return admitted_.account_ == nullptr ? AccountId() : admitted_.account_->id_;
}

void RequestAdmission::sent()
{
    if (!std::exchange(isSent_, true)) {
        // Retries are earned by requests that endpoints receive.
        context_.retryBudgetOf(service_).requestArrived();
        context_.metrics_.admissions_.increment({ { "result", "sent" }, { "service", service_.value() } });
    }
}

/// The request has waited as long as it may.
void RequestAdmission::waitEnded()
{
    const auto expected = facts_.expected_;
    facts_ = currentFacts(!facts_.mayBeRefused_);
    facts_.expected_ = expected;
    decision_ = { AdmissionKind::Refuse, retryDelay(facts_) };
    refused(ErrorCode::QueueTimedOut);
}

void RequestAdmission::dispatchEnded(bool isAnswered, std::optional<std::chrono::nanoseconds> responseTime)
{
    if (!isPlain_) {
        return;
    }
    auto &queue = context_.serviceQueueOf(service_);
    if (isAnswered) {
        queue.answered(account(), responseTime);
    }
    queue.roomChanged();
}

void RequestAdmission::withdraw()
{
    if (ticket_ != 0) {
        context_.serviceQueueOf(service_).withdraw(ticket_);
    }
}

AdmissionFacts RequestAdmission::currentFacts(bool mayHaveRun) const
{
    const auto &route = *admitted_.route_;
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(context_.clock_.now() - arrivedAt_);
    AdmissionFacts facts{ .callerTimeLeft_ = metadata_.callerTimeout_.value_or(route.timeout_) - elapsed,
                          .routeTimeLeft_ = route.timeout_ - elapsed,
                          .targetLatency_ = route.targetLatency_,
                          .mayBeRefused_ = !mayHaveRun,
                          .jitter_ = std::uniform_real_distribution<double>()(context_.random_) };
    if (route.kind_ == RouteKind::Streaming) {
        facts.patienceLeft_ = route.patience() - elapsed;
    }
    return facts;
}

void RequestAdmission::patienceEnded()
{
    facts_ = currentFacts(false);
    decision_ = { AdmissionKind::Refuse, retryDelay(facts_) };
    refused(ErrorCode::DeadlineUnreachable);
}

std::chrono::milliseconds RequestAdmission::withdrawalTime() const
{
    const auto &route = *admitted_.route_;
    return route.kind_ == RouteKind::Streaming ? std::min(route.timeout_, route.patience() - WithdrawalMargin) : route.timeout_;
}

ErrorCode RequestAdmission::reason() const
{
    return reason_;
}

std::chrono::milliseconds RequestAdmission::retryAfter() const
{
    return decision_.retryAfter_;
}

void RequestAdmission::refused(ErrorCode reason)
{
    reason_ = reason;
    if (!facts_.mayBeRefused_) {
        // The caller is told that the outcome is unknown.
        return;
    }
    context_.metrics_.admissions_.increment({ { "reason", errorName(reason) }, { "result", "refused" }, { "service", service_.value() } });
    admissionlog::refused(metadata_.attemptId_, admitted_, service_, reason, facts_, decision_.retryAfter_);
}

} // namespace cowsliphead

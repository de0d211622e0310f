#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "gateway/admitrequest.h"
#include "gateway/callerresponse.h"
#include "gateway/crashtracker.h"
#include "gateway/dispatch.h"
#include "gateway/dispatchplanner.h"
#include "gateway/endpointoutcome.h"
#include "gateway/endpointsurvival.h"
#include "gateway/keycheck.h"
#include "gateway/nextstep.h"
#include "gateway/refusalof.h"
#include "gateway/releasecache.h"
#include "gateway/requestadmission.h"
#include "gateway/requestattempts.h"
#include "gateway/requestlog.h"
#include "gateway/requestretries.h"
#include "gateway/requestrouter.h"
#include "gateway/requesttrace.h"
#include "http/httpheaders.h"

namespace cowsliphead
{

/// Handles one request of a caller, from its arrival to the final response. Thread safety: the loop's task only.
template <Dialect D>
class Exchange
{
public:
    /// onDone is called once, from a later iteration of the event loop than the call that caused it. Precondition: context and connection
    /// outlive the exchange.
    Exchange(GatewayContext &context, CallerConnection &connection, CallerRequest request, std::function<void()> onDone)
        : context_(context)
        , request_(std::move(request))
        , onDone_(std::move(onDone))
        , configuration_(context.configuration_)
        , deadline_(context.loop_, [this] { deadlineReached(); })
        , crashes_(context, request_, metadata_, admitted_)
        , response_(context, connection, request_.arrivedAt_)
        , retries_(context, attempts_, service_)
        , trace_(context, headerValue(request_.head_.headers_, "traceparent"))
    {
    }

    /// Precondition: called once.
    void start()
    {
        auto metadata = D::readRequest(request_.head_);
        if (!metadata) {
            refuse(ErrorCode::RequestMalformed);
            return;
        }
        metadata_ = std::move(*metadata);
        if (const auto rejection = admit()) {
            refuse(*rejection);
            return;
        }
        service_ = RequestRouter::chooseService(route(), metadata_.attemptId_);
        router_.emplace(context_, metadata_);
        router_->useService(service_, engineSpec(), route().targetLatency_);
        planner_.emplace(request_, metadata_, admitted_, *router_);
        if (RequestAdmission::appliesTo(*configuration_, service_)) {
            admission_.emplace(context_, metadata_, admitted_, configuration_->services_.at(service_), request_.arrivedAt_);
        } else {
            context_.retryBudgetOf(service_).requestArrived();
        }
        const auto withdrawalTime = admission_ ? admission_->withdrawalTime() - elapsed() : timeLeft();
        deadline_.startOnce(std::max(std::min(timeLeft(), withdrawalTime), std::chrono::milliseconds(0)));
        dispatchNext();
    }

    /// Cancels the request, since the caller has disconnected.
    void callerLeft()
    {
        // The answer may have been completed after the caller had left.
        if (onDone_) {
            ended(0, "caller_left");
        }
    }

    /// The caller has read most of what it was sent.
    void callerDrained()
    {
        if (dispatch_) {
            dispatch_->callerDrained();
        }
    }

    /// Sends the final response now, since the process is stopping.
    void onProcessStopping()
    {
        if (onDone_) {
            endWithError(mayHaveStarted() ? ErrorCode::EndpointLost : ErrorCode::Draining);
        }
    }

private:
    /// A route or key counts as nonexistent only if the configuration was confirmed within this many times its bound, which allows for a
    /// store read in progress and the one before it.
    static constexpr int RecentBoundFactor = 2;

    /// Callers that are told to come back do so within at least this time.
    static constexpr std::chrono::milliseconds MinReturnSpread{ 500 };

    const Route &route() const
    {
        return *admitted_.route_;
    }

    /// Finds the request's route and account in the configuration. Returns the error if the request is not admitted.
    std::optional<ErrorCode> admit()
    {
        if (!configuration_) {
            return ErrorCode::RecordsNotLoaded;
        }
        const auto now = context_.clock_.now();
        const bool isRecent = context_.age_.isWithin(context_.settings_.bounds_.configuration_ * RecentBoundFactor, now);
        const auto admitted = admitRequest(*configuration_, metadata_, request_.head_.target_, isRecent);
        if (!admitted) {
            return static_cast<ErrorCode>(admitted.error().value());
        }
        admitted_ = *admitted;
        timeLimit_ = std::min(route().timeout_, metadata_.callerTimeout_.value_or(route().timeout_));
        if (context_.drain_ && !context_.drain_->accepts(timeLimit_, now)) {
            return ErrorCode::Draining;
        }
        const bool needsKey = configuration_->hasAccounts_ && !route().isAnonymous_;
        keyCheck_.emplace(context_, needsKey ? metadata_.key_ : std::string());
        return std::nullopt;
    }

    std::chrono::milliseconds timeLeft() const
    {
        return timeLimit_ - elapsed();
    }

    /// Null if the service's endpoints are not engines.
    const EngineSpec *engineSpec() const
    {
        const auto service = configuration_->services_.find(service_);
        return service != configuration_->services_.end() && service->second.engine_ ? &*service->second.engine_ : nullptr;
    }

    void dispatchNext()
    {
        if (crashes_.quarantineLeft()) {
            endWithError(ErrorCode::RequestQuarantined);
        } else if (context_.usesAdaptiveServing() && attempts_.shouldPause()) {
            pause();
        } else if (retries_.mustWait()) {
            waitForRetry();
        } else if (admission_ && !response_.relay().hasBegun()) {
            dispatchIfAdmitted();
        } else {
            dispatchAdmitted();
        }
    }

    void dispatchIfAdmitted()
    {
        const auto refuseNow = [this] { endWithError(admission_->reason()); };
        const auto decision =
            admission_->decide(*router_, cache_.has_value(), attempts_.mayHaveRun(), { .onRoom_ = [this] { dispatchAdmitted(); }, .onTimedOut_ = refuseNow });
        if (decision.kind_ == AdmissionKind::Send) {
            dispatchAdmitted();
        } else if (decision.kind_ == AdmissionKind::Refuse) {
            refuseNow();
        }
    }

    void dispatchAdmitted()
    {
        if (!cache_ && router_->shouldPrefill()) {
            prefill();
        } else {
            run();
        }
    }

    void pause()
    {
        attempts_.paused();
        if (elapsed() >= timeLimit_ / 2) {
            endWithError(ErrorCode::EndpointUnavailable);
            return;
        }
        retries_.pause([this] { dispatchNext(); });
    }

    /// Another gateway may have a retry left, or the next requests here bring one.
    void waitForRetry()
    {
        retries_.wait(timeLeft(), [this](bool isReady) {
            if (isReady) {
                dispatchNext();
            } else {
                endWithError(ErrorCode::RetryBudgetSpent);
            }
        });
    }

    void prefill()
    {
        if (!retries_.charge()) {
            endWithError(ErrorCode::RetryBudgetSpent);
            return;
        }
        const auto choice = router_->choosePrefill();
        if (choice.engine_ == nullptr) {
            run();
            return;
        }
        send(*choice.engine_, planner_->planPrefill(choice, timeLeft(), response_.relay().lastEventId()), [this](const AttemptResult &result) {
            prefillEnded(result);
        });
    }

    void prefillEnded(const AttemptResult &result)
    {
        showLife();
        trace_.dispatchEnded(dispatch_->plan(), attemptEndName(result.end_));
        retries_.settle(dispatch_->isWritten());
        auto &engine = dispatch_->endpoint();
        const auto handle = result.head_.status_ == httpstatus::Ok ? D::readHandle(result.body_) : failure(ErrorCode::EndpointRefused);
        if (handle) {
            promptRead(engine, *handle);
        } else {
            if (dispatch_->isWritten()) {
                attempts_.prefillFailed();
            }
            logDispatch(result);
            endpointoutcome::failed(context_, engine, dispatch_->plan(), result, dispatch_->writtenAt(), withholdReason_.has_value());
        }
        dispatch_.reset();
        if (withholdReason_) {
            endWithError(*withholdReason_);
        } else {
            dispatchNext();
        }
    }

    void promptRead(EndpointState &engine, const std::string &handle)
    {
        const auto now = context_.clock_.now();
        const auto duration = std::chrono::duration_cast<std::chrono::milliseconds>(now - dispatch_->writtenAt());
        engine.prefillQueue_.addMeasurement(dispatch_->plan().promptTokens_, duration, now);
        cache_ = CacheHandle{ engine.entry_.address_, handle };
        requestlog::promptRead(dispatch_->plan(), router_->sharedParts(), metadata_.sharedTokens(), duration);
        endpointoutcome::promptRead(context_, engine, dispatch_->tokensUntilRead(), dispatch_->writtenAt());
    }

    void run()
    {
        auto *chosen = router_->chooseEndpoint(cache_.has_value());
        if (chosen == nullptr) {
            endWithError(ErrorCode::EndpointUnavailable);
            return;
        }
        if (!retries_.charge()) {
            endWithError(ErrorCode::RetryBudgetSpent);
            return;
        }
        attempts_.dispatched();
        send(*chosen, planner_->planRun(*chosen, timeLeft(), response_.relay().lastEventId(), cache_), [this](AttemptResult result) {
            runEnded(std::move(result));
        });
    }

    void send(EndpointState &endpoint, DispatchPlan plan, const std::function<void(AttemptResult)> &onEnd)
    {
        response_.relay().discardPartialEvent();
        plan.metadata_.traceparent_ = trace_.dispatchStarted();
        dispatch_ = std::make_unique<Dispatch<D>>(context_,
                                                  context_.endpoints_.find(endpoint.entry_.id_),
                                                  std::move(plan),
                                                  DispatchEvents{
                                                      .mayWrite_ = [this] { return mayWrite(); },
                                                      .mayAbandon_ = [this] { return mayAbandon(); },
                                                      .onStream_ = [this](const ResponseHead &head) { streamBegan(head); },
                                                      .onData_ = [this](std::string_view data) { return response_.relay().forward(data); },
                                                      .onEnd_ = onEnd,
                                                  });
        dispatch_->start();
    }

    /// An endpoint that sends no data is abandoned only for another one: a timeout alone is no reason to end a response.
    bool mayAbandon()
    {
        const bool isPrefill = dispatch_->plan().metadata_.isPrefill_;
        const bool canRunElsewhere = attempts_.mayRunOnAnotherEndpoint(route()) && router_->hasOtherEndpoint();
        return context_.retryBudgetOf(service_).hasRetryLeft() && (isPrefill || canRunElsewhere);
    }

    bool mayWrite()
    {
        withholdReason_ = keyCheck_->rejection();
        if (!withholdReason_ && crashes_.quarantineLeft()) {
            withholdReason_ = ErrorCode::RequestQuarantined;
        }
        return !withholdReason_;
    }

    void streamBegan(const ResponseHead &head)
    {
        countUsage(context_.clock_.now());
        recordResponse();
        response_.beginStream(head);
    }

    void runEnded(AttemptResult result)
    {
        auto &endpoint = dispatch_->endpoint();
        const bool isWritten = dispatch_->isWritten();
        if (response_.relay().hasPartialEvent() && result.end_ == AttemptEnd::Answered) {
            // The stream ended in the middle of an event.
            result.end_ = AttemptEnd::Lost;
            result.reason_ = "partial_event";
        } else if (response_.relay().hasBegun() && result.end_ == AttemptEnd::Answered && !dispatch_->isStreaming()) {
            // The endpoint has not continued the stream of the one before.
            result.end_ = AttemptEnd::Failed;
            result.reason_ = "not_continued";
        }
        if (isWritten && result.end_ != AttemptEnd::NotExecuted) {
            countUsage(dispatch_->writtenAt());
        }
        if (result.end_ == AttemptEnd::Answered) {
            recordResponse();
            crashes_.answered();
        } else {
            endpointoutcome::failed(context_, endpoint, dispatch_->plan(), result, dispatch_->writtenAt(), withholdReason_.has_value());
            logDispatch(result);
        }
        showLife();
        trace_.dispatchEnded(dispatch_->plan(), attemptEndName(result.end_));
        attempts_.ended(result.end_);
        retries_.settle(dispatch_->isWritten());
        lastEndpoint_ = endpoint.entry_.id_.value();
        if (result.end_ == AttemptEnd::NotExecuted && cache_) {
            releaseUnusedCache();
        }
        endDispatch(result.end_ == AttemptEnd::Answered);
        handleDispatchEnd(std::move(result));
    }

    void showLife()
    {
        if (const auto &sign = dispatch_->lifeSign()) {
            endpointsurvival::survived(context_, dispatch_->endpoint().entry_, *sign);
        }
    }

    void endDispatch(bool isAnswered)
    {
        if (!dispatch_) {
            return;
        }
        std::optional<std::chrono::nanoseconds> responseTime;
        if (isAnswered && !response_.relay().hasBegun()) {
            responseTime = context_.clock_.now() - dispatch_->writtenAt();
        }
        dispatch_.reset();
        if (admission_) {
            admission_->dispatchEnded(isAnswered, responseTime);
        }
    }

    void handleDispatchEnd(AttemptResult result)
    {
        if (withholdReason_) {
            endWithError(*withholdReason_);
            return;
        }
        // An answer that could be forwarded does not wait for a retry.
        const bool mayWait = context_.usesAdaptiveServing() && result.end_ != AttemptEnd::Failed;
        auto step = nextStep(result.end_, attempts_.progress(route(), context_.retryBudgetOf(service_), mayWait));
        if (step == NextStep::ForwardResponse && response_.relay().hasBegun() && result.end_ == AttemptEnd::Failed) {
            step = NextStep::Fail;
        }
        switch (step) {
        case NextStep::ForwardResponse:
            forwardResponse(result);
            return;
        case NextStep::RetryElsewhere:
            retryElsewhere();
            return;
        case NextStep::Refuse:
            endWithError(ErrorCode::EndpointRefused);
            return;
        case NextStep::Fail:
            endWithError(ErrorCode::EndpointLost);
            return;
        }
    }

    void retryElsewhere()
    {
        if (attempts_.mayHaveRun() && cache_) {
            // The lost engine has already fetched the cache.
            cache_.reset();
        }
        dispatchNext();
    }

    void forwardResponse(const AttemptResult &result)
    {
        response_.forwardResponse(result);
        ended(result.head_.status_, "");
    }

    /// Aborts a stream that has begun, or else sends an error response. The response has no Retry-After if the request may have run.
    void endWithError(ErrorCode code)
    {
        if (response_.relay().hasBegun()) {
            response_.abort();
            ended(0, errorName(code));
            return;
        }
        refuse(attempts_.mayHaveRun() && refusalOf(code).retryAfter_ ? ErrorCode::EndpointLost : code);
    }

    void refuse(ErrorCode code)
    {
        auto refusal = refusalOf(code);
        if (code == ErrorCode::RequestQuarantined) {
            refusal.retryAfter_ = crashes_.quarantineLeft();
        } else if (code == ErrorCode::EndpointUnavailable || code == ErrorCode::EndpointRefused) {
            refusal.retryAfter_ = retryAfterPause().value_or(*refusal.retryAfter_);
        } else if (admission_ && admission_->reason() == code) {
            refusal.retryAfter_ = admission_->retryAfter();
        }
        const int status = response_.refuse(refusal, metadata_.attemptId_);
        ended(status, errorName(code));
    }

    /// If all endpoints want no requests for now: the time until the first of them does, spread so that callers do not return together.
    std::optional<std::chrono::milliseconds> retryAfterPause()
    {
        const auto pause = context_.endpoints_.timeUntilReturn(service_, context_.clock_.now());
        if (!pause) {
            return std::nullopt;
        }
        std::uniform_int_distribution<std::int64_t> spread(0, std::max<std::int64_t>(MinReturnSpread.count(), pause->count() / 2));
        return *pause + std::chrono::milliseconds(spread(context_.random_));
    }

    void deadlineReached()
    {
        if (admission_ && timeLeft().count() > 0) {
            if (mayHaveStarted()) {
                deadline_.startOnce(timeLeft());
                return;
            }
            admission_->patienceEnded();
        }
        endWithError(mayHaveStarted() ? ErrorCode::EndpointTimedOut : ErrorCode::DeadlineUnreachable);
    }

    /// True if an endpoint may have run the request or may be running it now.
    bool mayHaveStarted() const
    {
        const bool isRunning = dispatch_ && dispatch_->isWritten() && !dispatch_->plan().metadata_.isPrefill_;
        return attempts_.mayHaveRun() || isRunning;
    }

    void countUsage(MonotonicTime at)
    {
        if (!std::exchange(isUsageCounted_, true) && admitted_.account_ != nullptr) {
            context_.usage_.send(RequestStarted{ admitted_.account_->id_, at });
        }
    }

    void recordResponse()
    {
        auto &endpoint = dispatch_->endpoint();
        if (response_.relay().hasBegun()) {
            endpointoutcome::succeeded(context_, endpoint, dispatch_->writtenAt());
        } else {
            endpointoutcome::answered(context_, endpoint, dispatch_->writtenAt(), route().targetLatency_);
        }
    }

    void logDispatch(const AttemptResult &result)
    {
        context_.metrics_.attempts_.increment({ { "end", attemptEndName(result.end_) } });
        if (result.isClosedByEndpoint()) {
            context_.metrics_.crashes_.increment({ { "service", service_.value() } });
            crashes_.endpointClosed(dispatch_->endpoint().entry_, dispatch_->writtenAt());
        }
        requestlog::dispatchEnded(dispatch_->plan(), result, elapsed(), crashes_.knownDigest(), metadata_.sharedParts());
    }

    std::chrono::milliseconds elapsed() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(context_.clock_.now() - request_.arrivedAt_);
    }

    void releaseUnusedCache()
    {
        releaseCache<D>(context_, *cache_);
        cache_.reset();
    }

    void ended(int status, const char *reason)
    {
        deadline_.cancel();
        retries_.cancel();
        const bool isCacheUnused = cache_ && !response_.relay().hasBegun() && !attempts_.mayHaveRun() && status != httpstatus::Ok;
        if (isCacheUnused) {
            releaseUnusedCache();
        }
        context_.metrics_.requests_.increment({ { "status", std::to_string(status) } });
        logEnd(status, reason);
        trace_.requestEnded(metadata_.attemptId_, status, reason);
        endDispatch(false);
        if (admission_) {
            admission_->withdraw();
        }
        context_.loop_.defer([onDone = std::exchange(onDone_, nullptr)] {
            if (onDone) {
                onDone();
            }
        });
    }

    void logEnd(int status, const char *reason) const
    {
        requestlog::Summary summary{ .request_ = metadata_.attemptId_, .service_ = service_.value(), .endpoint_ = lastEndpoint_ };
        if (admitted_.route_ != nullptr) {
            summary.route_ = route().name_;
            summary.maxRuns_ = route().maxAttempts_;
        }
        if (admitted_.account_ != nullptr) {
            summary.account_ = admitted_.account_->id_.value();
        }
        summary.status_ = status;
        summary.reason_ = reason;
        summary.dispatches_ = attempts_.dispatches();
        summary.arrivals_ = attempts_.arrivals();
        summary.runs_ = attempts_.runs();
        summary.mayHaveRun_ = mayHaveStarted();
        summary.timeLeft_ = timeLeft();
        summary.elapsed_ = elapsed();
        summary.digest_ = crashes_.knownDigest();
        summary.culprit_ = crashes_.culprit();
        summary.configuration_ = configuration_ ? configuration_->version_ : 0;
        summary.configurationAge_ = context_.age_.age(context_.clock_.now());
        requestlog::ended(summary);
    }

    GatewayContext &context_;
    CallerRequest request_;
    std::function<void()> onDone_;

    /// The configuration that admitted the request.
    std::shared_ptr<const Configuration> configuration_;
    Timer deadline_;
    RequestMetadata metadata_;
    AdmittedRequest admitted_;
    ServiceName service_;
    std::chrono::milliseconds timeLimit_{ 0 };
    std::unique_ptr<Dispatch<D>> dispatch_;
    std::optional<CacheHandle> cache_;
    std::optional<RequestRouter> router_;

    /// Set if requests for the service are decided upon at admission.
    std::optional<RequestAdmission> admission_;
    std::optional<DispatchPlanner> planner_;
    std::optional<KeyCheck> keyCheck_;
    CrashTracker crashes_;
    CallerResponse<D> response_;
    RequestRetries retries_;
    RequestTrace trace_;
    std::string lastEndpoint_;
    RequestAttempts attempts_;
    bool isUsageCounted_ = false;

    /// Why the request was not written although a connection was open.
    std::optional<ErrorCode> withholdReason_;
};

} // namespace cowsliphead

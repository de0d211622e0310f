#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "gateway/admitrequest.h"
#include "gateway/calleranswer.h"
#include "gateway/dispatch.h"
#include "gateway/dispatchplanner.h"
#include "gateway/endpointnotes.h"
#include "gateway/keyguard.h"
#include "gateway/nextstep.h"
#include "gateway/refusalof.h"
#include "gateway/releasecache.h"
#include "gateway/requestlog.h"
#include "gateway/requestrouter.h"
#include "gateway/requesttally.h"
#include "gateway/requesttrace.h"
#include "http/httpheaders.h"

namespace cowsliphead
{

/// One request of a caller, from its arrival to its last answer.
template <Dialect D>
class Exchange
{
public:
    /// onDone follows once, in a later turn than the call that caused it. Precondition: context and connection outlive the
    /// exchange. Thread safety: the loop's task only.
    Exchange(GatewayContext &context, CallerConnection &connection, CallerRequest request, std::function<void()> onDone)
        : context_(context)
        , request_(std::move(request))
        , onDone_(std::move(onDone))
        , configuration_(context.configuration_)
        , deadline_(context.loop_, [this] { deadlineReached(); })
        , answer_(context, connection, request_.arrivedAt_)
        , trace_(context, headerValue(request_.head_.headers_, "traceparent"))
    {
    }

    /// Precondition: called once. Thread safety: the loop's task only.
    void start()
    {
        auto facts = D::readRequest(request_.head_);
        if (!facts) {
            refuse(ErrorCode::RequestMalformed);
            return;
        }
        facts_ = std::move(*facts);
        if (const auto objection = admit()) {
            refuse(*objection);
            return;
        }
        service_ = RequestRouter::chooseService(route(), facts_.attemptId_);
        router_.emplace(context_, facts_);
        router_->useService(service_, isEngineService());
        planner_.emplace(request_, facts_, admitted_, *router_);
        context_.allowanceOf(service_).requestArrived();
        deadline_.startOnce(std::max(timeLeft(), std::chrono::milliseconds(0)));
        advance();
    }

    /// The caller has gone: what runs for it is cancelled. Thread safety: the loop's task only.
    void callerLeft()
    {
        ended(0, "caller_left");
    }

    /// The process stops: the request gets its last answer now. Thread safety: the loop's task only.
    void processStops()
    {
        if (onDone_) {
            giveUp(isWithEndpoint() ? ErrorCode::EndpointLost : ErrorCode::Draining);
        }
    }

private:
    /// A configuration that was the newest one within so many times its bound may say that something does not exist: a look that is
    /// under way, and the one before it.
    static constexpr int RecentBounds = 2;

    const Route &route() const
    {
        return *admitted_.route_;
    }

    /// Looks the request up in the configuration. Returns why it is not taken, or nothing.
    std::optional<ErrorCode> admit()
    {
        if (!configuration_) {
            return ErrorCode::RecordsNotLoaded;
        }
        const auto now = context_.clock_.now();
        const bool isRecent = context_.age_.isWithin(context_.settings_.bounds_.configuration_ * RecentBounds, now);
        const auto admitted = admitRequest(*configuration_, facts_, request_.head_.target_, isRecent);
        if (!admitted) {
            return static_cast<ErrorCode>(admitted.error().value());
        }
        admitted_ = *admitted;
        timeLimit_ = std::min(route().timeout_, facts_.claimTimeout_.value_or(route().timeout_));
        if (context_.drain_ && !context_.drain_->takes(timeLimit_, now)) {
            return ErrorCode::Draining;
        }
        const bool needsKey = configuration_->hasAccounts_ && !route().isAnonymous_;
        keyGuard_.emplace(context_, needsKey ? facts_.key_ : std::string());
        return std::nullopt;
    }

    std::chrono::milliseconds timeLeft() const
    {
        return timeLimit_ - elapsed();
    }

    bool isEngineService() const
    {
        const auto service = configuration_->services_.find(service_);
        return service != configuration_->services_.end() && service->second.engine_.has_value();
    }

    void advance()
    {
        if (!cache_ && router_->wantsPrefill()) {
            prefill();
        } else {
            run();
        }
    }

    void prefill()
    {
        if (!payForRepeat()) {
            giveUp(ErrorCode::RetryBudgetSpent);
            return;
        }
        const auto choice = router_->choosePrefill();
        if (choice.engine_ == nullptr) {
            run();
            return;
        }
        send(*choice.engine_, planner_->planPrefill(choice, timeLeft(), answer_.relay().lastEventId()), [this](const AttemptResult &result) {
            prefillEnded(result);
        });
    }

    void prefillEnded(const AttemptResult &result)
    {
        trace_.dispatchEnded(dispatch_->plan(), attemptEndName(result.end_));
        auto &engine = dispatch_->endpoint();
        const auto handle = result.head_.status_ == httpstatus::Ok ? D::readHandle(result.body_) : failure(ErrorCode::EndpointRefused);
        if (handle) {
            promptRead(engine, *handle);
        } else {
            if (dispatch_->isWritten()) {
                tally_.promptRefused();
            }
            logDispatch(result);
            endpointnotes::failed(context_, dispatch_->plan(), result.end_, withheldFor_.has_value());
        }
        dispatch_.reset();
        if (withheldFor_) {
            giveUp(*withheldFor_);
        } else {
            advance();
        }
    }

    void promptRead(EndpointState &engine, const std::string &handle)
    {
        const auto now = context_.clock_.now();
        const auto taken = std::chrono::duration_cast<std::chrono::milliseconds>(now - dispatch_->writtenAt());
        engine.queue_.read(dispatch_->plan().promptTokens_, taken, now);
        cache_ = CacheHandle{ engine.entry_.address_, handle };
        requestlog::promptRead(dispatch_->plan(), router_->sharedParts(), facts_.sharedTokens(), taken);
        endpointnotes::isWell(context_, engine.entry_.id_);
    }

    bool payForRepeat()
    {
        if (!tally_.isRepeat()) {
            return true;
        }
        if (!context_.allowanceOf(service_).spend()) {
            return false;
        }
        context_.metrics_.retries_.increment({ { "service", service_.value() } });
        return true;
    }

    void run()
    {
        auto *chosen = router_->chooseRunner(cache_.has_value());
        if (chosen == nullptr) {
            giveUp(ErrorCode::EndpointUnavailable);
            return;
        }
        if (!payForRepeat()) {
            giveUp(ErrorCode::RetryBudgetSpent);
            return;
        }
        tally_.dispatched();
        send(*chosen, planner_->planRun(*chosen, timeLeft(), answer_.relay().lastEventId(), cache_), [this](AttemptResult result) {
            runEnded(std::move(result));
        });
    }

    void send(EndpointState &endpoint, DispatchPlan plan, const std::function<void(AttemptResult)> &onEnd)
    {
        answer_.relay().discardPartialEvent();
        plan.facts_.traceparent_ = trace_.dispatchStarted();
        dispatch_ = std::make_unique<Dispatch<D>>(context_,
                                                  context_.endpoints_.find(endpoint.entry_.id_),
                                                  std::move(plan),
                                                  DispatchEvents{
                                                      .mayWrite_ = [this] { return mayWrite(); },
                                                      .mayAbandon_ = [this] { return mayAbandon(); },
                                                      .onStream_ = [this](const ResponseHead &head) { streamBegan(head); },
                                                      .onData_ = [this](std::string_view data) { answer_.relay().pass(data); },
                                                      .onEnd_ = onEnd,
                                                  });
        dispatch_->start();
    }

    /// A silent endpoint is left only for another one: silence alone is no reason to end an answer.
    bool mayAbandon()
    {
        const bool isPrefill = dispatch_->plan().facts_.isPrefill_;
        const bool canRunElsewhere = tally_.mayRunOnceMore(route()) && router_->hasOtherRunner();
        return context_.allowanceOf(service_).hasRoom() && (isPrefill || canRunElsewhere);
    }

    bool mayWrite()
    {
        withheldFor_ = keyGuard_->objection();
        return !withheldFor_;
    }

    void streamBegan(const ResponseHead &head)
    {
        countBegun(context_.clock_.now());
        noteAnswer();
        answer_.beginStream(head);
    }

    void runEnded(AttemptResult result)
    {
        const auto &endpoint = dispatch_->endpoint();
        const bool isWritten = dispatch_->isWritten();
        if (answer_.relay().hasPartial() && result.end_ == AttemptEnd::Answered) {
            // The stream ended in the middle of an event.
            result.end_ = AttemptEnd::Lost;
            result.reason_ = "partial_event";
        }
        if (isWritten && result.end_ != AttemptEnd::NotExecuted) {
            countBegun(dispatch_->writtenAt());
        }
        if (result.end_ == AttemptEnd::Answered) {
            noteAnswer();
        } else {
            endpointnotes::failed(context_, dispatch_->plan(), result.end_, withheldFor_.has_value());
            logDispatch(result);
        }
        trace_.dispatchEnded(dispatch_->plan(), attemptEndName(result.end_));
        tally_.ended(result.end_);
        lastEndpoint_ = endpoint.entry_.id_.value();
        if (result.end_ == AttemptEnd::NotExecuted && cache_) {
            forgetCache();
        }
        dispatch_.reset();
        follow(std::move(result));
    }

    void follow(AttemptResult result)
    {
        if (withheldFor_) {
            giveUp(*withheldFor_);
            return;
        }
        auto step = nextStep(result.end_, tally_.progress(route(), context_.allowanceOf(service_)));
        if (step == NextStep::PassOn && answer_.relay().hasBegun() && result.end_ == AttemptEnd::Failed) {
            step = NextStep::Fail;
        }
        switch (step) {
        case NextStep::PassOn:
            passOn(result);
            return;
        case NextStep::TryAgain:
            retry();
            return;
        case NextStep::Refuse:
            giveUp(ErrorCode::EndpointRefused);
            return;
        case NextStep::Fail:
            giveUp(ErrorCode::EndpointLost);
            return;
        }
    }

    void retry()
    {
        if (tally_.mayHaveRun() && cache_) {
            // The engine that was lost has taken the cache.
            cache_.reset();
        }
        advance();
    }

    void passOn(const AttemptResult &result)
    {
        answer_.passOn(result);
        ended(result.head_.status_, "");
    }

    void giveUp(ErrorCode code)
    {
        if (answer_.relay().hasBegun()) {
            answer_.abort();
            ended(0, errorName(code));
            return;
        }
        refuse(tally_.mayHaveRun() && refusalOf(code).retryAfter_ ? ErrorCode::EndpointLost : code);
    }

    void refuse(ErrorCode code)
    {
        const int status = answer_.refuse(code, facts_.attemptId_);
        ended(status, errorName(code));
    }

    void deadlineReached()
    {
        giveUp(isWithEndpoint() ? ErrorCode::EndpointTimedOut : ErrorCode::DeadlineUnreachable);
    }

    /// True if an endpoint may have run the request or may run it now.
    bool isWithEndpoint() const
    {
        const bool isRunning = dispatch_ && dispatch_->isWritten() && !dispatch_->plan().facts_.isPrefill_;
        return tally_.mayHaveRun() || isRunning;
    }

    void countBegun(MonotonicTime at)
    {
        if (!std::exchange(isCounted_, true) && admitted_.account_ != nullptr) {
            context_.usage_.send(RequestStarted{ admitted_.account_->id_, at });
        }
    }

    void noteAnswer()
    {
        const auto &endpoint = dispatch_->endpoint().entry_.id_;
        if (answer_.relay().hasBegun()) {
            endpointnotes::isWell(context_, endpoint);
        } else {
            endpointnotes::answered(context_, endpoint, context_.clock_.now() - dispatch_->writtenAt(), route().targetLatency_);
        }
    }

    void logDispatch(const AttemptResult &result)
    {
        context_.metrics_.attempts_.increment({ { "end", attemptEndName(result.end_) } });
        requestlog::dispatchEnded(dispatch_->plan(), result, elapsed());
    }

    std::chrono::milliseconds elapsed() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(context_.clock_.now() - request_.arrivedAt_);
    }

    void forgetCache()
    {
        releaseCache<D>(context_, *cache_);
        cache_.reset();
    }

    void ended(int status, const char *reason)
    {
        deadline_.cancel();
        const bool isCacheUnused = cache_ && !answer_.relay().hasBegun() && !tally_.mayHaveRun() && status != httpstatus::Ok;
        if (isCacheUnused) {
            forgetCache();
        }
        context_.metrics_.requests_.increment({ { "status", std::to_string(status) } });
        logEnd(status, reason);
        trace_.requestEnded(facts_.attemptId_, status, reason);
        dispatch_.reset();
        context_.loop_.defer([onDone = std::exchange(onDone_, nullptr)] {
            if (onDone) {
                onDone();
            }
        });
    }

    void logEnd(int status, const char *reason) const
    {
        requestlog::Summary summary{ .request_ = facts_.attemptId_, .service_ = service_.value(), .endpoint_ = lastEndpoint_ };
        if (admitted_.route_ != nullptr) {
            summary.route_ = route().name_;
        }
        if (admitted_.account_ != nullptr) {
            summary.account_ = admitted_.account_->id_.value();
        }
        summary.status_ = status;
        summary.reason_ = reason;
        summary.dispatches_ = tally_.dispatches();
        summary.arrivals_ = tally_.arrivals();
        summary.mayHaveRun_ = isWithEndpoint();
        summary.timeLeft_ = timeLeft();
        summary.elapsed_ = elapsed();
        summary.configuration_ = configuration_ ? configuration_->version_ : 0;
        summary.configurationAge_ = context_.age_.age(context_.clock_.now());
        requestlog::ended(summary);
    }

    GatewayContext &context_;
    CallerRequest request_;
    std::function<void()> onDone_;

    /// The version that admitted the request.
    std::shared_ptr<const Configuration> configuration_;
    Timer deadline_;
    CallerFacts facts_;
    AdmittedRequest admitted_;
    ServiceName service_;
    std::chrono::milliseconds timeLimit_{ 0 };
    std::unique_ptr<Dispatch<D>> dispatch_;
    std::optional<CacheHandle> cache_;
    std::optional<RequestRouter> router_;
    std::optional<DispatchPlanner> planner_;
    std::optional<KeyGuard> keyGuard_;
    CallerAnswer<D> answer_;
    RequestTrace trace_;
    std::string lastEndpoint_;
    RequestTally tally_;
    bool isCounted_ = false;

    /// Why the request was not written although its endpoint was ready.
    std::optional<ErrorCode> withheldFor_;
};

} // namespace cowsliphead

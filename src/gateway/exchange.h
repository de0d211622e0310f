#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "gateway/admitrequest.h"
#include "gateway/dispatch.h"
#include "gateway/nextstep.h"
#include "gateway/refusalof.h"
#include "gateway/releasecache.h"
#include "gateway/requestlog.h"
#include "gateway/requestrouter.h"
#include "gateway/streamrelay.h"
#include "http1/callerconnection.h"
#include "http1/connectionheaders.h"

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
        , connection_(connection)
        , request_(std::move(request))
        , onDone_(std::move(onDone))
        , configuration_(context.configuration_)
        , deadline_(context.loop_, [this] { deadlineReached(); })
        , relay_(connection)
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
        if (!configuration_) {
            refuse(ErrorCode::RecordsNotLoaded);
            return;
        }
        const bool isRecent = context_.age_.isWithin(context_.settings_.configurationBound_, context_.clock_.now());
        const auto admitted = admitRequest(*configuration_, facts_, request_.head_.target_, isRecent);
        if (!admitted) {
            refuse(static_cast<ErrorCode>(admitted.error().value()));
            return;
        }
        admitted_ = *admitted;
        service_ = RequestRouter::chooseService(route(), facts_.attemptId_);
        router_.emplace(context_, facts_);
        router_->useService(service_, isEngineService());
        context_.allowanceOf(service_).requestArrived();
        startDeadline();
        advance();
    }

    /// The caller has gone: what runs for it is cancelled. Thread safety: the loop's task only.
    void callerLeft()
    {
        ended(0, "caller_left");
    }

private:
    /// Connections that may fail to open before the request is given up.
    static constexpr int MostUnopened = 4;

    /// An endpoint that gave nothing for this many times the route's target is taken for lost, where a request may run again.
    static constexpr int SilentTargets = 3;

    /// Bounds of that time.
    static constexpr std::chrono::milliseconds ShortestSilence{ 800 };
    static constexpr std::chrono::milliseconds LongestSilence{ 1700 };

    const Route &route() const
    {
        return *admitted_.route_;
    }

    void startDeadline()
    {
        timeLimit_ = std::min(route().timeout_, facts_.patience_.value_or(route().timeout_));
        deadline_.startOnce(std::max(timeLeft(), std::chrono::milliseconds(0)));
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
        auto plan = planFor(*choice.engine_);
        plan.facts_.isPrefill_ = true;
        plan.promptTokens_ = router_->ownTokens();
        if (choice.home_ != nullptr) {
            plan.facts_.fetchSource_ = textOf(choice.home_->entry_.address_);
        }
        if (!router_->isLastPrefill()) {
            plan.silenceLimit_ = std::max(ShortestSilence, timeLeft() / 2);
        }
        send(*choice.engine_, std::move(plan), [this](const AttemptResult &result) { prefillEnded(result); });
    }

    void prefillEnded(const AttemptResult &result)
    {
        auto &engine = dispatch_->endpoint();
        const auto handle = result.head_.status_ == httpstatus::Ok ? D::readHandle(result.body_) : failure(ErrorCode::EndpointRefused);
        if (handle) {
            const auto now = context_.clock_.now();
            const auto taken = std::chrono::duration_cast<std::chrono::milliseconds>(now - dispatch_->writtenAt());
            engine.queue_.read(dispatch_->plan().promptTokens_, taken, now);
            cache_ = CacheHandle{ engine.entry_.address_, *handle };
            requestlog::promptRead(dispatch_->plan(), router_->sharedParts(), facts_.sharedTokens(), taken);
            context_.endpoints_.health().answered(engine.entry_.id_);
        } else {
            arrivals_ += dispatch_->isWritten() ? 1 : 0;
            logDispatch(result);
            noteFailure(engine, result.end_);
        }
        dispatch_.reset();
        advance();
    }

    static std::string textOf(const SocketAddress &address)
    {
        return address.host_ + ":" + std::to_string(address.port_);
    }

    /// Every call to an endpoint beyond a request's first draws on the allowance; a prompt that was read does not count as one.
    bool payForRepeat()
    {
        if (arrivals_ == 0) {
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
        auto plan = planFor(*chosen);
        plan.isStream_ = route().kind_ == RouteKind::Streaming;
        plan.needsNewConnection_ = !route().mayRunAgain();
        if (router_->readsPromptItself(cache_.has_value())) {
            planReading(plan);
        }
        if (cache_) {
            plan.facts_.cacheSource_ = textOf(cache_->engine_) + "/" + cache_->id_;
        }
        if (route().mayRunAgain()) {
            plan.silenceLimit_ = silenceLimit();
        }
        ++dispatches_;
        send(*chosen, std::move(plan), [this](AttemptResult result) { runEnded(std::move(result)); });
    }

    /// The engine that answers reads a long prompt too, and takes the shared parts from their home.
    void planReading(DispatchPlan &plan) const
    {
        if (const auto *home = router_->home()) {
            plan.facts_.fetchSource_ = textOf(home->entry_.address_);
        }
        plan.promptTokens_ = router_->ownTokens();
    }

    std::chrono::milliseconds silenceLimit() const
    {
        return std::clamp(route().targetLatency_ * SilentTargets, ShortestSilence, LongestSilence);
    }

    DispatchPlan planFor(const EndpointState &endpoint) const
    {
        DispatchPlan plan{ .head_ = request_.head_, .body_ = request_.body_, .attemptId_ = facts_.attemptId_ };
        plan.facts_.endpoint_ = endpoint.entry_.id_;
        if (admitted_.account_ != nullptr) {
            plan.facts_.account_ = admitted_.account_->id_;
        }
        plan.facts_.priority_ = admitted_.account_ != nullptr ? admitted_.account_->priority_.value_or(route().priority_) : route().priority_;
        plan.facts_.timeLeft_ = timeLeft();
        plan.facts_.lastEventId_ = relay_.lastEventId().empty() ? facts_.lastEventId_ : relay_.lastEventId();
        return plan;
    }

    void send(EndpointState &endpoint, DispatchPlan plan, const std::function<void(AttemptResult)> &onEnd)
    {
        relay_.dropPartial();
        dispatch_ = std::make_unique<Dispatch<D>>(context_,
                                                  context_.endpoints_.find(endpoint.entry_.id_),
                                                  std::move(plan),
                                                  DispatchEvents{
                                                      .mayWrite_ = [this] { return mayWrite(); },
                                                      .mayAbandon_ = [this] { return mayAbandon(); },
                                                      .onStream_ = [this](const ResponseHead &head) { streamBegan(head); },
                                                      .onData_ = [this](std::string_view data) { relay_.pass(data); },
                                                      .onEnd_ = onEnd,
                                                  });
        dispatch_->start();
    }

    /// A silent endpoint is left only for another one: silence alone is no reason to end an answer.
    bool mayAbandon()
    {
        const bool isPrefill = dispatch_->plan().facts_.isPrefill_;
        const bool canRunElsewhere = route().mayRunAgain() && runs_ + 1 < route().maxAttempts_ && router_->hasOtherRunner();
        return context_.allowanceOf(service_).hasRoom() && (isPrefill || canRunElsewhere);
    }

    /// Asked at the moment of writing: the process may have been suspended since the request was read.
    bool mayWrite()
    {
        const bool needsKey = configuration_->hasAccounts_ && !route().isAnonymous_;
        if (!needsKey) {
            return true;
        }
        const auto bound = context_.settings_.keyWithdrawalBound_ - KeyMargin;
        if (!context_.age_.isWithin(bound, context_.clock_.now())) {
            withheldFor_ = ErrorCode::RecordsTooOld;
        } else if (!context_.configuration_->accounts_.contains(facts_.key_)) {
            withheldFor_ = ErrorCode::KeyUnknown;
        }
        return !withheldFor_;
    }

    /// Covers the difference in clock rate between this machine and the store.
    static constexpr std::chrono::milliseconds KeyMargin{ 150 };

    void streamBegan(const ResponseHead &head)
    {
        countBegun(context_.clock_.now());
        noteAnswer();
        if (!relay_.hasBegun()) {
            context_.metrics_.firstByte_.record(context_.clock_.now() - request_.arrivedAt_);
        }
        relay_.begin(head);
    }

    void runEnded(AttemptResult result)
    {
        const auto &endpoint = dispatch_->endpoint();
        const bool isWritten = dispatch_->isWritten();
        if (relay_.hasPartial() && result.end_ == AttemptEnd::Answered) {
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
            noteFailure(endpoint, result.end_);
            logDispatch(result);
        }
        noteTried(endpoint, result.end_);
        dispatch_.reset();
        follow(std::move(result));
    }

    void noteTried(const EndpointState &endpoint, AttemptEnd end)
    {
        arrivals_ += end == AttemptEnd::NotOffered ? 0 : 1;
        lastEndpoint_ = endpoint.entry_.id_.value();
        if (end == AttemptEnd::Lost || end == AttemptEnd::Failed) {
            mayHaveRun_ = true;
            ++runs_;
        }
        if (end == AttemptEnd::NotOffered) {
            ++unopened_;
        }
        if (end == AttemptEnd::NotExecuted && cache_) {
            forgetCache();
        }
    }

    void follow(AttemptResult result)
    {
        if (withheldFor_) {
            giveUp(*withheldFor_);
            return;
        }
        auto &allowance = context_.allowanceOf(service_);
        const RequestProgress progress{
            .mayRunAgain_ = route().mayRunAgain(),
            .mayHaveRun_ = mayHaveRun_,
            .hasAttemptsLeft_ = runs_ < route().maxAttempts_,
            .canAffordRetry_ = (arrivals_ == 0 && unopened_ < MostUnopened) || allowance.hasRoom(),
        };
        auto step = nextStep(result.end_, progress);
        if (step == NextStep::PassOn && relay_.hasBegun() && result.end_ == AttemptEnd::Failed) {
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
        if (mayHaveRun_ && cache_) {
            // The engine that was lost has taken the cache.
            cache_.reset();
        }
        advance();
    }

    void passOn(const AttemptResult &result)
    {
        if (relay_.hasBegun()) {
            connection_.endAnswer();
            ended(result.head_.status_, "");
            return;
        }
        context_.metrics_.firstByte_.record(context_.clock_.now() - request_.arrivedAt_);
        connection_.respond(result.head_.status_, result.head_.reason_, endToEndHeaders(result.head_.headers_), result.body_);
        ended(result.head_.status_, "");
    }

    void giveUp(ErrorCode code)
    {
        if (relay_.hasBegun()) {
            connection_.abortAnswer();
            ended(0, errorName(code));
            return;
        }
        refuse(mayHaveRun_ && refusalOf(code).retryAfter_ ? ErrorCode::EndpointLost : code);
    }

    void refuse(ErrorCode code)
    {
        const auto refusal = refusalOf(code);
        HttpHeaders headers = D::ownAnswerHeaders(facts_.attemptId_);
        if (refusal.retryAfter_) {
            headers.emplace_back("Retry-After", std::to_string(std::chrono::duration<double>(*refusal.retryAfter_).count()));
        }
        connection_.respond(refusal.status_, reasonOf(refusal.status_), std::move(headers), errorName(code));
        ended(refusal.status_, errorName(code));
    }

    void deadlineReached()
    {
        const bool mayRun = mayHaveRun_ || (dispatch_ && dispatch_->isWritten() && isRunning());
        giveUp(mayRun ? ErrorCode::EndpointTimedOut : ErrorCode::DeadlineUnreachable);
    }

    bool isRunning() const
    {
        return dispatches_ > 0;
    }

    void countBegun(MonotonicTime at)
    {
        if (!std::exchange(isCounted_, true) && admitted_.account_ != nullptr) {
            context_.usage_.send(RequestBegun{ admitted_.account_->id_, at });
        }
    }

    void noteAnswer()
    {
        const auto state = context_.endpoints_.find(dispatch_->endpoint().entry_.id_);
        if (state && !relay_.hasBegun() && route().targetLatency_.count() > 0) {
            state->lateness_.answered(context_.clock_.now() - dispatch_->writtenAt(), route().targetLatency_);
        }
        context_.endpoints_.health().answered(dispatch_->endpoint().entry_.id_);
    }

    void noteFailure(const EndpointState &endpoint, AttemptEnd end)
    {
        if (end == AttemptEnd::Lost || (end == AttemptEnd::NotOffered && !withheldFor_)) {
            context_.endpoints_.health().crashed(endpoint.entry_.id_, context_.clock_.now());
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
        const bool isCacheUnused = cache_ && !relay_.hasBegun() && !mayHaveRun_ && status != httpstatus::Ok;
        if (isCacheUnused) {
            forgetCache();
        }
        dispatch_.reset();
        context_.metrics_.requests_.increment({ { "status", std::to_string(status) } });
        logEnd(status, reason);
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
        summary.dispatches_ = dispatches_;
        summary.arrivals_ = arrivals_;
        summary.mayHaveRun_ = mayHaveRun_;
        summary.timeLeft_ = timeLeft();
        summary.elapsed_ = elapsed();
        summary.configuration_ = configuration_ ? configuration_->version_ : 0;
        summary.configurationAge_ = context_.age_.age(context_.clock_.now());
        requestlog::ended(summary);
    }

    GatewayContext &context_;
    CallerConnection &connection_;
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
    StreamRelay relay_;
    std::string lastEndpoint_;
    std::uint32_t dispatches_ = 0;
    std::uint32_t runs_ = 0;

    /// Calls that endpoints got for this request, but for prompts that were read.
    std::uint32_t arrivals_ = 0;
    int unopened_ = 0;
    bool mayHaveRun_ = false;
    bool isCounted_ = false;

    /// Why the request was not written although its endpoint was ready.
    std::optional<ErrorCode> withheldFor_;
};

} // namespace cowsliphead

#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include <xxhash.h>

#include "gateway/admitrequest.h"
#include "gateway/dispatch.h"
#include "gateway/eventposition.h"
#include "gateway/nextstep.h"
#include "gateway/refusalof.h"
#include "gateway/releasecache.h"
#include "http1/callerconnection.h"
#include "http1/connectionheaders.h"
#include "http1/parsesocketaddress.h"
#include "serve/eventframer.h"

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
        service_ = chooseService();
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
    /// A longer prompt is read by a prefill engine, since it would hold up the streams of the engine that generates.
    static constexpr std::uint64_t LongPrompt = 2000;

    /// Share of the decode engines' places above which other engines read short prompts too.
    static constexpr double BusyDecode = 0.4;

    /// Share of the decode engines' places below which they can read long prompts beside their streams.
    static constexpr double IdleDecode = 0.35;

    /// A home whose queue takes longer than this has too much to read.
    static constexpr std::chrono::milliseconds BusyPrefill{ 200 };

    /// An engine whose queue takes less than this has nothing to read.
    static constexpr std::chrono::milliseconds IdleQueue{ 10 };

    /// Prefill engines that are tried before the engine that generates reads the prompt itself.
    static constexpr int MostPrefills = 2;

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

    ServiceName chooseService() const
    {
        std::uint64_t total = 0;
        for (const auto &share : route().shares_) {
            total += share.weight_;
        }
        auto point = total == 0 ? 0 : XXH3_64bits(facts_.attemptId_.data(), facts_.attemptId_.size()) % total;
        for (const auto &share : route().shares_) {
            if (point < share.weight_) {
                return share.service_;
            }
            point -= share.weight_;
        }
        return route().shares_.front().service_;
    }

    void startDeadline()
    {
        timeLimit_ = std::min(route().timeout_, facts_.patience_.value_or(route().timeout_));
        deadline_.startOnce(std::max(timeLeft(), std::chrono::milliseconds(0)));
    }

    std::chrono::milliseconds timeLeft() const
    {
        return timeLimit_ - std::chrono::duration_cast<std::chrono::milliseconds>(context_.clock_.now() - request_.arrivedAt_);
    }

    bool isEngineService() const
    {
        const auto service = configuration_->services_.find(service_);
        return service != configuration_->services_.end() && service->second.engine_.has_value();
    }

    void advance()
    {
        if (wantsPrefill()) {
            prefill();
        } else {
            run();
        }
    }

    bool wantsPrefill() const
    {
        const bool isPossible = cache_ == std::nullopt && prefills_ < MostPrefills && facts_.promptTokens_ > 0;
        if (!isPossible || !context_.endpoints_.hasStage(service_, EngineStage::Prefill)) {
            return false;
        }
        return isLongPrompt() ? !mayRelievePrefill() : mayRelieveDecode();
    }

    /// A long prompt is read where it is answered only if its homes have much to read and the decode engines little to do.
    bool mayRelievePrefill() const
    {
        if (context_.decodeOccupancy(service_) > IdleDecode) {
            return false;
        }
        const auto now = context_.clock_.now();
        const auto candidates = context_.endpoints_.candidates(service_, EngineStage::Prefill, triedPrefill_, now);
        const auto choice = placement::prefillEngine(sharedPartsName(), candidates, context_.gatewayCount_, now);
        return choice.engine_ != nullptr && choice.engine_->queue_.wait(now, context_.gatewayCount_) > BusyPrefill;
    }

    /// A short prompt is best read where it is answered, unless the engines there are busy and one of the others has nothing to read.
    bool mayRelieveDecode() const
    {
        if (prefills_ > 0 || context_.decodeOccupancy(service_) < BusyDecode) {
            return false;
        }
        const auto now = context_.clock_.now();
        const auto candidates = context_.endpoints_.candidates(service_, EngineStage::Prefill, triedPrefill_, now);
        const auto *idle = placement::shortestQueue(candidates, context_.settings_.domain_, context_.gatewayCount_, now);
        return idle != nullptr && idle->queue_.wait(now, context_.gatewayCount_) < IdleQueue;
    }

    bool isLongPrompt() const
    {
        return facts_.promptTokens_ >= LongPrompt;
    }

    std::string sharedPartsName() const
    {
        std::string name;
        for (std::size_t index = 0; index + 1 < facts_.promptParts_.size(); ++index) {
            name += facts_.promptParts_[index].id_;
        }
        return name;
    }

    void prefill()
    {
        if (!payForRepeat()) {
            prefills_ = MostPrefills;
            giveUp(ErrorCode::RetryBudgetSpent);
            return;
        }
        ++prefills_;
        const auto now = context_.clock_.now();
        const auto candidates = context_.endpoints_.candidates(service_, EngineStage::Prefill, triedPrefill_, now);
        const auto choice = isLongPrompt()
            ? placement::prefillEngine(sharedPartsName(), candidates, context_.gatewayCount_, now)
            : PrefillChoice{ placement::shortestQueue(candidates, context_.settings_.domain_, context_.gatewayCount_, now), nullptr };
        if (choice.engine_ == nullptr) {
            prefills_ = MostPrefills;
            run();
            return;
        }
        triedPrefill_.insert(choice.engine_->entry_.id_);
        auto plan = planFor(*choice.engine_);
        plan.facts_.isPrefill_ = true;
        plan.promptTokens_ = facts_.promptTokens_ - facts_.sharedTokens();
        if (choice.home_ != nullptr) {
            plan.facts_.fetchSource_ = textOf(choice.home_->entry_.address_);
        }
        if (prefills_ < MostPrefills) {
            plan.silenceLimit_ = std::max(ShortestSilence, timeLeft() / 2);
        }
        send(*choice.engine_, std::move(plan), [this](AttemptResult result) { prefillEnded(std::move(result)); });
    }

    void prefillEnded(AttemptResult result)
    {
        auto &engine = dispatch_->endpoint();
        const auto handle = result.head_.status_ == httpstatus::Ok ? D::readHandle(result.body_) : failure(ErrorCode::EndpointRefused);
        if (handle) {
            const auto now = context_.clock_.now();
            engine.queue_.read(dispatch_->plan().promptTokens_, now - dispatch_->writtenAt(), now);
            cache_ = CacheHandle{ engine.entry_.address_, *handle };
            logPromptRead();
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
        const auto stage = isEngineService() ? EngineStage::Decode : EngineStage::None;
        const auto candidates = context_.endpoints_.candidates(service_, stage, tried_, context_.clock_.now());
        const bool readsPrompt = isLongPrompt() && !cache_ && stage == EngineStage::Decode;
        auto *chosen = readsPrompt ? placement::prefillEngine(sharedPartsName(), candidates, context_.gatewayCount_, context_.clock_.now()).engine_
                                   : placement::leastLoaded(candidates, context_.settings_.domain_, context_.random_);
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
        if (readsPrompt) {
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
    void planReading(DispatchPlan &plan)
    {
        const auto now = context_.clock_.now();
        const auto homes = context_.endpoints_.candidates(service_, EngineStage::Prefill, {}, now);
        const auto home = placement::prefillEngine(sharedPartsName(), homes, context_.gatewayCount_, now);
        if (home.engine_ != nullptr) {
            plan.facts_.fetchSource_ = textOf((home.home_ != nullptr ? *home.home_ : *home.engine_).entry_.address_);
        }
        plan.promptTokens_ = facts_.promptTokens_ - facts_.sharedTokens();
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
        plan.facts_.lastEventId_ = position_.lastId().empty() ? facts_.lastEventId_ : position_.lastId();
        return plan;
    }

    void send(EndpointState &endpoint, DispatchPlan plan, std::function<void(AttemptResult)> onEnd)
    {
        framer_.dropPartial();
        dispatch_ = std::make_unique<Dispatch<D>>(context_,
                                                  context_.endpoints_.find(endpoint.entry_.id_),
                                                  std::move(plan),
                                                  DispatchEvents{
                                                      .mayWrite_ = [this] { return mayWrite(); },
                                                      .onStream_ = [this](const ResponseHead &head) { streamBegan(head); },
                                                      .onData_ = [this](std::string_view data) { streamData(data); },
                                                      .onEnd_ = std::move(onEnd),
                                                  });
        dispatch_->start();
    }

    /// Asked at the moment of writing: the process may have been suspended since the request was read.
    bool mayWrite()
    {
        const bool needsKey = configuration_->hasAccounts_ && !route().isAnonymous_;
        if (!needsKey) {
            return true;
        }
        const auto bound = context_.settings_.keyWithdrawalBound_ - KeyMargin;
        isKeyStale_ = !context_.age_.isWithin(bound, context_.clock_.now()) || !context_.configuration_->accounts_.contains(facts_.key_);
        return !isKeyStale_;
    }

    /// Covers the difference in clock rate between this machine and the store.
    static constexpr std::chrono::milliseconds KeyMargin{ 150 };

    void streamBegan(const ResponseHead &head)
    {
        countBegun(context_.clock_.now());
        noteAnswer();
        if (!isAnswerBegun_) {
            isAnswerBegun_ = true;
            context_.metrics_.firstByte_.record(context_.clock_.now() - request_.arrivedAt_);
            connection_.beginAnswer(head.status_, head.reason_, endToEndHeaders(head.headers_));
        }
    }

    void streamData(std::string_view data)
    {
        const auto events = framer_.add(data);
        position_.passed(events);
        connection_.sendPiece(events);
        heldBytes_ = heldBytes_ + data.size() - events.size();
    }

    void runEnded(AttemptResult result)
    {
        const auto &endpoint = dispatch_->endpoint();
        const bool isWritten = dispatch_->isWritten();
        if (isAnswerBegun_ && result.end_ == AttemptEnd::Answered && heldBytes_ > 0) {
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
        heldBytes_ = 0;
        follow(std::move(result));
    }

    void noteTried(const EndpointState &endpoint, AttemptEnd end)
    {
        arrivals_ += end == AttemptEnd::NotOffered ? 0 : 1;
        tried_.insert(endpoint.entry_.id_);
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
        if (isKeyStale_) {
            giveUp(ErrorCode::RecordsTooOld);
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
        if (step == NextStep::PassOn && isAnswerBegun_ && result.end_ == AttemptEnd::Failed) {
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
        if (isAnswerBegun_) {
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
        if (isAnswerBegun_) {
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
        if (state && !isAnswerBegun_ && route().targetLatency_.count() > 0) {
            state->lateness_.answered(context_.clock_.now() - dispatch_->writtenAt(), route().targetLatency_);
        }
        context_.endpoints_.health().answered(dispatch_->endpoint().entry_.id_);
    }

    void noteFailure(const EndpointState &endpoint, AttemptEnd end)
    {
        if (end == AttemptEnd::Lost || (end == AttemptEnd::NotOffered && !isKeyStale_)) {
            context_.endpoints_.health().crashed(endpoint.entry_.id_, context_.clock_.now());
        }
    }

    void logDispatch(const AttemptResult &result)
    {
        context_.metrics_.attempts_.increment({ { "end", attemptEndName(result.end_) } });
        logEvent(LogEvent::DispatchEnded,
                 { { "request", facts_.attemptId_ },
                   { "endpoint", dispatch_->endpoint().entry_.id_.value() },
                   { "end", attemptEndName(result.end_) },
                   { "reason", result.reason_ },
                   { "status", std::uint64_t(result.head_.status_) },
                   { "afterMs", elapsed() } });
    }

    void logPromptRead() const
    {
        const auto taken = std::chrono::duration_cast<std::chrono::milliseconds>(context_.clock_.now() - dispatch_->writtenAt());
        logRoutine(LogEvent::PromptRead,
                   { { "request", facts_.attemptId_ },
                     { "endpoint", dispatch_->endpoint().entry_.id_.value() },
                     { "parts", sharedPartsName() },
                     { "fetchedFrom", dispatch_->plan().facts_.fetchSource_ },
                     { "sharedTokens", facts_.sharedTokens() },
                     { "ownTokens", dispatch_->plan().promptTokens_ },
                     { "takenMs", std::uint64_t(taken.count()) } });
    }

    std::uint64_t elapsed() const
    {
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(context_.clock_.now() - request_.arrivedAt_).count());
    }

    void forgetCache()
    {
        releaseCache<D>(context_, *cache_);
        cache_.reset();
    }

    void ended(int status, const char *reason)
    {
        deadline_.cancel();
        const bool isCacheUnused = cache_ && !isAnswerBegun_ && !mayHaveRun_ && status != httpstatus::Ok;
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
        const bool isRoutine = status == httpstatus::Ok;
        const auto write = isRoutine ? logRoutine : logEvent;
        write(LogEvent::RequestEnded,
              { { "request", facts_.attemptId_ },
                { "route", admitted_.route_ == nullptr ? std::string() : route().name_ },
                { "account", admitted_.account_ == nullptr ? std::string() : admitted_.account_->id_.value() },
                { "service", service_.value() },
                { "status", std::uint64_t(status) },
                { "reason", reason },
                { "endpoint", lastEndpoint_ },
                { "dispatches", std::uint64_t(dispatches_) },
                { "arrivals", std::uint64_t(arrivals_) },
                { "mayHaveRun", mayHaveRun_ ? "yes" : "no" },
                { "timeLeftMs", std::uint64_t(std::max<std::int64_t>(0, timeLeft().count())) },
                { "afterMs", elapsed() },
                { "configuration", configuration_ ? configuration_->version_ : 0 },
                { "configurationAgeMs", std::uint64_t(context_.age_.age(context_.clock_.now()).count()) } });
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
    std::set<EndpointId> tried_;
    std::set<EndpointId> triedPrefill_;
    EventFramer framer_;
    EventPosition position_;
    std::string lastEndpoint_;
    std::size_t heldBytes_ = 0;
    std::uint32_t dispatches_ = 0;
    std::uint32_t runs_ = 0;

    /// Calls that endpoints got for this request, but for prompts that were read.
    std::uint32_t arrivals_ = 0;
    int unopened_ = 0;
    int prefills_ = 0;
    bool mayHaveRun_ = false;
    bool isAnswerBegun_ = false;
    bool isCounted_ = false;
    bool isKeyStale_ = false;
};

} // namespace cowsliphead

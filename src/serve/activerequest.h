#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/endpointid.h"
#include "core/outcome.h"
#include "decide/requestmachine.h"
#include "decide/requestplan.h"
#include "http/httprequest.h"
#include "http/httpresponsehead.h"
#include "serve/answerstream.h"
#include "serve/endpointselection.h"
#include "serve/requestclaim.h"
#include "serve/requesttelemetry.h"
#include "serve/suspecttrial.h"
#include "usage/usagemeter.h"

#include <tl/expected.hpp>

namespace cowsliphead
{

class Attempt;
class CallerExchange;
struct AttemptFailure;
struct ClaimVerdict;
struct EndpointRecord;
struct RequestFacts;
struct ServingContext;

/// Carries out the steps of one request: joins the caller's side, the decisions and the endpoint's side.
class ActiveRequest
{
public:
    using OnEnd = std::function<void()>;

    /// Precondition: the context outlives the request. Thread safety: the serving task only.
    ActiveRequest(ServingContext &context, RequestPlan plan, const RequestFacts &facts, HttpRequest request, std::shared_ptr<CallerExchange> exchange);
    ~ActiveRequest();
    ActiveRequest(const ActiveRequest &) = delete;
    ActiveRequest &operator=(const ActiveRequest &) = delete;

    /// Begins; onEnd is called once, after which the request can be destroyed in a later turn. Thread safety: the serving task only.
    void start(OnEnd onEnd);

private:
    void take(const RequestStep &step);
    void carryOut(const struct WaitStep &step);
    void carryOut(const struct ClaimStep &step);
    void carryOut(const struct DispatchStep &step);
    void carryOut(const struct CompleteStep &step);
    void carryOut(const struct FailStep &step);

    void onClaimVerdict(const ClaimVerdict &verdict);

    void tryAlone();
    void onTurnAlone();
    void onAlone(const EndpointId &endpoint);
    void send(const EndpointRecord &endpoint);
    void onHead(const HttpResponseHead &head);
    void onData(std::string_view data);
    void onEnd(const tl::expected<void, AttemptFailure> &end);
    void onCallerLeft();
    void failAttempt(const AttemptFailure &failure);
    void closeAttempt(std::error_code code);
    void emitUsage(Outcome outcome);
    void finish(Outcome outcome, std::error_code code);

    ServingContext &context_;
    RequestPlan plan_;

    /// True if the answer is that of an earlier sending.
    bool isReplay_ = false;
    RequestMachine machine_;
    HttpRequest request_;
    std::string key_;

    /// True if the caller wants a stream; isStreamed_ is true if the attempt's answer is one.
    bool wantsStream_;
    bool isStreamed_ = false;
    std::shared_ptr<CallerExchange> exchange_;
    OnEnd onEnd_;

    RequestTelemetry telemetry_;
    std::uint64_t sequence_;
    RequestClaim claim_;
    std::uint32_t attemptNumber_ = 0;
    std::unique_ptr<Attempt> attempt_;
    SuspectTrial trial_;
    EndpointSelection selection_;
    HttpResponseHead answerHead_;
    std::string answerBody_;
    AnswerStream stream_;
    UsageMeter usage_;
};

} // namespace cowsliphead

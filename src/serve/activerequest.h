#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "core/endpointid.h"
#include "core/outcome.h"
#include "decide/claimanswer.h"
#include "decide/claimrequest.h"
#include "decide/requestmachine.h"
#include "decide/requestplan.h"
#include "http/httpcallfailure.h"
#include "http/httprequest.h"
#include "http/httpresponsehead.h"
#include "serve/requesttelemetry.h"
#include "task/timer.h"
#include "usage/usagemeter.h"

#include <tl/expected.hpp>

namespace cowsliphead
{

class CallerExchange;
class HttpCall;
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
    void endClaim(Outcome outcome);
    std::optional<ClaimAnswer> answerToKeep() const;

    const EndpointRecord *chooseEndpoint() const;
    void send(const EndpointRecord &endpoint, std::uint32_t attempt);
    void onHead(const HttpResponseHead &head);
    void onData(std::string_view data);
    void onEnd(const tl::expected<void, HttpCallFailure> &end);
    void onSilence();
    void onCallerLeft();
    void failAttempt(const AttemptFailure &attempt);
    void releaseEndpoint(std::error_code code);
    void forwardStreamed(std::string_view data);
    HttpResponseHead callerHead() const;
    void emitUsage(Outcome outcome);
    void finish(Outcome outcome, std::error_code code);

    ServingContext &context_;
    RequestPlan plan_;

    /// What the request claims; it has no key without an idempotency key.
    ClaimRequest claim_;
    bool hasClaim_ = false;
    RequestMachine machine_;
    HttpRequest request_;
    std::string key_;
    bool isStreamed_;
    std::shared_ptr<CallerExchange> exchange_;
    OnEnd onEnd_;

    RequestTelemetry telemetry_;
    std::uint64_t sequence_;
    std::string attemptId_;
    std::shared_ptr<HttpCall> call_;
    EndpointId endpoint_;
    std::set<EndpointId> failedEndpoints_;
    HttpResponseHead answerHead_;
    std::string answerBody_;
    UsageMeter usage_;
    Timer silence_;
};

} // namespace cowsliphead

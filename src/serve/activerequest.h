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
#include "serve/requestisolation.h"
#include "serve/requesttelemetry.h"
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

/// Processes one request: executes the steps that the RequestMachine decides on, and connects the caller's exchange with the attempts at endpoints.
/// Thread safety: call only from the serving task.
class ActiveRequest
{
public:
    using OnEnd = std::function<void()>;

    /// Precondition: the context outlives the request.
    ActiveRequest(ServingContext &context, RequestPlan plan, const RequestFacts &facts, HttpRequest request, std::shared_ptr<CallerExchange> exchange);
    ~ActiveRequest();
    ActiveRequest(const ActiveRequest &) = delete;
    ActiveRequest &operator=(const ActiveRequest &) = delete;

    /// Starts processing. onEnd is called once; destroy the object only in a later iteration of the event loop.
    void start(OnEnd onEnd);

    /// Sends the final response now, since the process is stopping. Does nothing if the request has ended.
    void onProcessStopping();

private:
    void execute(const RequestStep &step);
    void executeStep(const struct WaitStep &step);
    void executeStep(const struct ClaimStep &step);
    void executeStep(const struct DispatchStep &step);
    void executeStep(const struct CompleteStep &step);
    void executeStep(const struct FailStep &step);

    void onClaimVerdict(const ClaimVerdict &verdict);

    void startIsolatedAttempt();
    void onIsolationTurn();
    void onEndpointReserved(const EndpointId &endpoint);
    void send(const EndpointRecord &endpoint);
    void onHead(const HttpResponseHead &head);
    void onData(std::string_view data);
    void onEnd(const tl::expected<void, AttemptFailure> &end);
    void onCallerLeft();

    /// True if an endpoint may have run the request or may be running it now.
    bool mayHaveRun() const;
    void failAttempt(const AttemptFailure &failure);
    void closeAttempt(std::error_code code);
    void sendUsageEntry(Outcome outcome);
    void finish(Outcome outcome, std::error_code code);

    ServingContext &context_;
    RequestPlan plan_;

    /// True if the answer is the stored one of an earlier request with the same idempotency key.
    bool isReplay_ = false;
    RequestMachine machine_;
    HttpRequest request_;
    std::string key_;

    /// True if the caller asked for a streamed answer; isStreamed_ is true if the current attempt's answer is a stream.
    bool isStreamRequested_;
    bool isStreamed_ = false;
    std::shared_ptr<CallerExchange> exchange_;
    OnEnd onEnd_;

    RequestTelemetry telemetry_;
    std::uint64_t sequence_;
    RequestClaim claim_;
    std::uint32_t attemptNumber_ = 0;
    std::unique_ptr<Attempt> attempt_;
    RequestIsolation requestIsolation_;
    EndpointSelection selection_;
    HttpResponseHead answerHead_;
    std::string answerBody_;
    AnswerStream stream_;
    UsageMeter usage_;
};

} // namespace cowsliphead

#pragma once

#include <string>
#include <system_error>

#include "core/accountid.h"
#include "core/endpointid.h"
#include "core/outcome.h"
#include "core/time.h"
#include "traces/tracecontext.h"

namespace cowsliphead
{

struct ServingContext;

/// Counts, times and traces one request and its attempts.
class RequestTelemetry
{
public:
    /// traceparent is the caller's, or empty. Precondition: the context outlives the object. Thread safety: the serving task only.
    RequestTelemetry(ServingContext &context, AccountId account, const std::string &traceparent);

    /// An attempt begins. Returns the traceparent for the endpoint. Thread safety: the serving task only.
    std::string attemptStarted(const EndpointId &endpoint);

    /// The attempt has ended; no error for a whole answer. Precondition: an attempt is under way. Thread safety: the serving task only.
    void attemptEnded(std::error_code code);

    /// The first byte of the answer is on its way to the caller. Thread safety: the serving task only.
    void answerStarted();

    /// The request has ended; no error for a whole answer. Thread safety: the serving task only.
    void requestEnded(Outcome outcome, std::error_code code);

private:
    ServingContext &context_;
    AccountId account_;
    MonotonicTime arrival_;
    WallTime start_;
    std::string callerSpanId_;
    TraceContext trace_;
    EndpointId endpoint_;
    TraceContext attemptTrace_;
    WallTime attemptStart_;
    bool isAnswerStarted_ = false;
};

} // namespace cowsliphead

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

/// Records the metrics and trace spans of one request and its attempts.
/// Thread safety: call only from the serving task.
class RequestTelemetry
{
public:
    /// traceparent is the value of the caller's header field, or empty. Precondition: the context outlives the object.
    RequestTelemetry(ServingContext &context, AccountId account, const std::string &traceparent);

    /// Starts the span of an attempt. Returns the traceparent to send to the endpoint.
    std::string attemptStarted(const EndpointId &endpoint);

    /// Ends the span of the attempt; code is empty if the answer was complete. Precondition: an attempt is in progress.
    void attemptEnded(std::error_code code);

    /// Records the time to the first byte of the answer; calls after the first one do nothing.
    void answerStarted();

    /// Ends the span of the request; code is empty if the answer was complete.
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

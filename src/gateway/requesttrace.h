#pragma once

#include <string>

#include "core/time.h"
#include "traces/tracecontext.h"

namespace cowsliphead
{

struct DispatchPlan;
struct GatewayContext;

/// Traces one request: a span for its time in the gateway, and a child span for each dispatch. Does nothing while tracing is off. Thread
/// safety: the context's task only.
class RequestTrace
{
public:
    /// callerTrace: the caller's traceparent, or empty. Precondition: the context outlives the trace.
    RequestTrace(const GatewayContext &context, const std::string &callerTrace);

    /// Starts the span of a dispatch. Returns the traceparent for the endpoint; empty while tracing is off.
    std::string dispatchStarted();

    /// Precondition: dispatchStarted() was called.
    void dispatchEnded(const DispatchPlan &plan, const char *end);

    /// status: 0 if the response was aborted.
    void requestEnded(const std::string &attemptId, int status, const char *reason);

private:
    const GatewayContext &context_;
    std::string callerSpanId_;
    TraceContext request_;
    TraceContext dispatch_;
    WallTime requestStart_;
    WallTime dispatchStart_;
};

} // namespace cowsliphead

#pragma once

#include <string>

#include "core/time.h"
#include "traces/tracecontext.h"

namespace cowsliphead
{

struct DispatchPlan;
struct GatewayContext;

/// Traces one request: a span for its stay in the gateway, and one for each dispatch below it. Costs nothing while traces are off.
class RequestTrace
{
public:
    /// callerTrace is the caller's traceparent, or empty. Precondition: the context outlives the trace. Thread safety: the context's
    /// task only.
    RequestTrace(const GatewayContext &context, const std::string &callerTrace);

    /// A dispatch begins. Returns the traceparent for its endpoint; empty while traces are off. Thread safety: the context's task only.
    std::string dispatchStarted();

    /// Precondition: a dispatch is under way. Thread safety: the context's task only.
    void dispatchEnded(const DispatchPlan &plan, const char *end);

    /// status is 0 for an answer that was cut. Thread safety: the context's task only.
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

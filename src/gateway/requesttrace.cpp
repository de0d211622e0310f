#include "gateway/requesttrace.h"

#include <utility>

#include "gateway/dispatchplan.h"
#include "gateway/gatewaycontext.h"
#include "traces/span.h"

namespace cowsliphead
{

RequestTrace::RequestTrace(const GatewayContext &context, const std::string &callerTrace)
    : context_(context)
{
    if (!context_.settings_.isTraced_) {
        return;
    }
    const auto caller = TraceContext::parse(callerTrace);
    callerSpanId_ = caller ? caller->spanId_ : std::string();
    request_ = caller ? caller->child() : TraceContext::start();
    requestStart_ = context_.clock_.wallNow();
}

std::string RequestTrace::dispatchStarted()
{
    if (!context_.settings_.isTraced_) {
        return {};
    }
    dispatch_ = request_.child();
    dispatchStart_ = context_.clock_.wallNow();
    return dispatch_.toTraceparent();
}

void RequestTrace::dispatchEnded(const DispatchPlan &plan, const char *end)
{
    if (!context_.settings_.isTraced_) {
        return;
    }
    Span span;
    span.context_ = dispatch_;
    span.parentSpanId_ = request_.spanId_;
    span.name_ = plan.metadata_.isPrefill_ ? "prefill" : "dispatch";
    span.start_ = dispatchStart_;
    span.end_ = context_.clock_.wallNow();
    span.attributes_ = { { "endpoint", plan.metadata_.endpoint_.value() }, { "end", end } };
    context_.spans_.send(std::move(span));
}

void RequestTrace::requestEnded(const std::string &attemptId, int status, const char *reason)
{
    if (!context_.settings_.isTraced_) {
        return;
    }
    Span span;
    span.context_ = request_;
    span.parentSpanId_ = callerSpanId_;
    span.name_ = "request";
    span.start_ = requestStart_;
    span.end_ = context_.clock_.wallNow();
    span.attributes_ = { { "request", attemptId }, { "status", std::to_string(status) }, { "reason", reason } };
    context_.spans_.send(std::move(span));
}

} // namespace cowsliphead

#include "serve/requesttelemetry.h"

#include <utility>

#include "serve/servingcontext.h"
#include "traces/span.h"

namespace cowsliphead
{

namespace
{

std::string errorText(std::error_code code)
{
    return code ? code.message() : std::string("none");
}

} // namespace

RequestTelemetry::RequestTelemetry(ServingContext &context, AccountId account, const std::string &traceparent)
    : context_(context)
    , account_(std::move(account))
    , arrival_(context.clock_.now())
    , start_(context.clock_.wallNow())
{
    const auto caller = TraceContext::parse(traceparent);
    callerSpanId_ = caller ? caller->spanId_ : std::string();
    trace_ = caller ? caller->child() : TraceContext::start();
}

std::string RequestTelemetry::attemptStarted(const EndpointId &endpoint)
{
    endpoint_ = endpoint;
    attemptTrace_ = trace_.child();
    attemptStart_ = context_.clock_.wallNow();
    return attemptTrace_.toTraceparent();
}

void RequestTelemetry::attemptEnded(std::error_code code)
{
    context_.metrics_.attempts_.increment({ { "endpoint", endpoint_.value() }, { "error", errorText(code) } });
    Span span;
    span.context_ = attemptTrace_;
    span.parentSpanId_ = trace_.spanId_;
    span.name_ = "attempt";
    span.start_ = attemptStart_;
    span.end_ = context_.clock_.wallNow();
    span.attributes_ = { { "endpoint", endpoint_.value() }, { "error", errorText(code) } };
    context_.spans_.send(std::move(span));
}

void RequestTelemetry::answerStarted()
{
    if (!std::exchange(isAnswerStarted_, true)) {
        context_.metrics_.firstByte_.record(context_.clock_.now() - arrival_);
    }
}

void RequestTelemetry::requestEnded(Outcome outcome, std::error_code code)
{
    context_.metrics_.requests_.increment({ { "account", account_.value() }, { "outcome", outcomeName(outcome) }, { "error", errorText(code) } });
    context_.metrics_.duration_.record(context_.clock_.now() - arrival_);
    Span span;
    span.context_ = trace_;
    span.parentSpanId_ = callerSpanId_;
    span.name_ = "request";
    span.start_ = start_;
    span.end_ = context_.clock_.wallNow();
    span.attributes_ = { { "account", account_.value() }, { "outcome", outcomeName(outcome) }, { "error", errorText(code) } };
    context_.spans_.send(std::move(span));
}

} // namespace cowsliphead

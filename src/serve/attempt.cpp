#include "serve/attempt.h"

#include <charconv>
#include <utility>

#include "core/errorcode.h"
#include "decide/attemptfailure.h"
#include "endpoint/endpointheaders.h"
#include "http/httpcall.h"
#include "http/httprequest.h"
#include "http/httpstatus.h"
#include "logs/log.h"
#include "records/endpointrecord.h"
#include "serve/attemptplan.h"
#include "serve/servingcontext.h"

namespace cowsliphead
{

namespace
{

bool isRefusal(int status)
{
    return status == httpstatus::ServiceUnavailable || status == httpstatus::TooManyRequests;
}

} // namespace

Attempt::Attempt(ServingContext &context, const EndpointRecord &endpoint, std::string id)
    : context_(context)
    , endpoint_(endpoint.endpoint_)
    , id_(std::move(id))
    , isEngine_(endpoint.kind_ == EndpointKind::Engine)
    , silence_(context.loop_, [this] { onSilence(); })
{
}

Attempt::~Attempt()
{
    close();
}

void Attempt::start(const EndpointRecord &endpoint, const HttpRequest &request, const AttemptPlan &plan, AttemptEvents events)
{
    silenceTimeout_ = plan.silenceTimeout_;
    events_ = std::move(events);
    HttpCallEvents callEvents;
    callEvents.onHead_ = [this](const HttpResponseHead &head) { onHead(head); };
    callEvents.onData_ = [this](std::string_view data) { onData(data); };
    callEvents.onEnd_ = [this](const tl::expected<void, HttpCallFailure> &end) { onEnd(end); };
    call_ = context_.pool_.call(endpoint, request, plan.connection_, std::move(callEvents));
    silence_.startOnce(plan.firstByteTimeout_);
}

void Attempt::close()
{
    silence_.cancel();
    if (call_) {
        std::exchange(call_, nullptr)->cancel();
        context_.pool_.release(endpoint_);
    }
}

bool Attempt::mayHaveBeenSent() const
{
    return call_ && call_->mayHaveBeenSent();
}

const EndpointId &Attempt::endpoint() const
{
    return endpoint_;
}

void Attempt::onHead(const HttpResponseHead &head)
{
    if (headerValue(head.headers_, endpointheaders::RequestId) != id_) {
        logEvent(LogEvent::AnswerCrossed, { { "endpoint", endpoint_.value() }, { "attempt", id_ } });
        fail({ make_error_code(ErrorCode::EndpointAnswerMalformed), true, false });
        return;
    }
    silence_.startOnce(silenceTimeout_);
    noteLoad(head);
    if (isEngine_ && isRefusal(head.status_)) {
        fail({ make_error_code(ErrorCode::EndpointRefused), true, true });
    } else if (isEngine_ && head.status_ >= httpstatus::InternalServerError) {
        fail({ make_error_code(ErrorCode::EndpointLost), true, false });
    } else {
        events_.onHead_(head);
    }
}

void Attempt::onData(std::string_view data)
{
    silence_.startOnce(silenceTimeout_);
    events_.onData_(data);
}

void Attempt::onEnd(const tl::expected<void, HttpCallFailure> &end)
{
    if (!end) {
        onLost(end.error());
        return;
    }
    context_.health_.answered(endpoint_);
    close();
    events_.onEnd_({});
}

void Attempt::onSilence()
{
    const bool mayHaveBeenSent = call_->mayHaveBeenSent();
    AttemptFailure failure{ make_error_code(ErrorCode::EndpointTimedOut), mayHaveBeenSent, false };
    failure.isReusedConnectionSilent_ = !call_->isOnFreshConnection();
    if (!failure.isReusedConnectionSilent_) {
        context_.health_.wentSilent(endpoint_, context_.clock_.now());
    }
    context_.pool_.closeIdleConnections(endpoint_);
    logEvent(LogEvent::EndpointSilent, { { "endpoint", endpoint_.value() }, { "attempt", id_ } });
    fail(failure);
}

void Attempt::onLost(const HttpCallFailure &lost)
{
    AttemptFailure failure{ lost.code_, lost.mayHaveBeenSent_, false };
    failure.isCrash_ = lost.mayHaveBeenSent_ && lost.code_ == ErrorCode::EndpointLost;
    context_.health_.crashed(endpoint_, context_.clock_.now());
    logEvent(LogEvent::EndpointLost, { { "endpoint", endpoint_.value() }, { "attempt", id_ } });
    fail(failure);
}

void Attempt::fail(const AttemptFailure &failure)
{
    close();
    events_.onEnd_(tl::unexpected(failure));
}

void Attempt::noteLoad(const HttpResponseHead &head)
{
    const auto text = headerValue(head.headers_, endpointheaders::ReportedLoad);
    std::uint32_t load = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), load);
    if (!text.empty() && parsed.ec == std::errc()) {
        context_.pool_.noteReportedLoad(endpoint_, load);
    }
}

} // namespace cowsliphead

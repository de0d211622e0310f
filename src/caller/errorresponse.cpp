#include "caller/errorresponse.h"

#include <nlohmann/json.hpp>

#include "core/errorcode.h"
#include "http/httpstatus.h"

namespace cowsliphead
{

namespace
{

constexpr const char *RetryAfterSeconds = "1";

int statusOf(std::error_code code)
{
    switch (static_cast<ErrorCode>(code.value())) {
    case ErrorCode::KeyMissing:
    case ErrorCode::KeyUnknown:
        return httpstatus::Unauthorized;
    case ErrorCode::KeyNotAllowed:
        return httpstatus::Forbidden;
    case ErrorCode::RequestMalformed:
    case ErrorCode::IdempotencyKeyRequired:
        return httpstatus::BadRequest;
    case ErrorCode::RequestTooLarge:
        return httpstatus::PayloadTooLarge;
    case ErrorCode::RouteUnknown:
    case ErrorCode::ModelUnknown:
        return httpstatus::NotFound;
    case ErrorCode::AccountOverLimit:
        return httpstatus::TooManyRequests;
    case ErrorCode::IdempotencyKeyInUse:
        return httpstatus::Conflict;
    case ErrorCode::IdempotencyKeyReused:
    case ErrorCode::RequestQuarantined:
        return httpstatus::UnprocessableContent;
    case ErrorCode::EndpointTimedOut:
        return httpstatus::GatewayTimeout;
    case ErrorCode::EndpointLost:
    case ErrorCode::EndpointAnswerMalformed:
        return httpstatus::BadGateway;
    default:
        return httpstatus::ServiceUnavailable;
    }
}

const char *typeOf(int status)
{
    switch (status) {
    case httpstatus::Unauthorized:
        return "authentication_error";
    case httpstatus::Forbidden:
        return "permission_error";
    case httpstatus::TooManyRequests:
        return "rate_limit_error";
    default:
        return status < httpstatus::InternalServerError ? "invalid_request_error" : "server_error";
    }
}

bool isRetryable(int status)
{
    return status == httpstatus::TooManyRequests || status == httpstatus::ServiceUnavailable || status == httpstatus::Conflict;
}

} // namespace

HttpResponseHead errorHead(std::error_code code, Outcome outcome)
{
    HttpResponseHead head;
    head.status_ = statusOf(code);
    head.headers_.emplace_back("Content-Type", "application/json");
    head.headers_.emplace_back(OutcomeHeader, outcomeName(outcome));
    if (isRetryable(head.status_)) {
        head.headers_.emplace_back("Retry-After", RetryAfterSeconds);
    }
    return head;
}

std::string errorBody(std::error_code code)
{
    const auto status = statusOf(code);
    const nlohmann::json body = { { "error",
                                    { { "message", code.message() }, { "type", typeOf(status) }, { "code", code.message() }, { "param", nullptr } } } };
    return body.dump();
}

} // namespace cowsliphead

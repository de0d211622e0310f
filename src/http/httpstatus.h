#pragma once

namespace cowsliphead::httpstatus
{

constexpr int Ok = 200;
constexpr int NoContent = 204;
constexpr int NotModified = 304;
constexpr int BadRequest = 400;
constexpr int Unauthorized = 401;
constexpr int Forbidden = 403;
constexpr int NotFound = 404;
constexpr int MethodNotAllowed = 405;
constexpr int RequestTimeout = 408;
constexpr int Conflict = 409;
constexpr int PreconditionFailed = 412;
constexpr int PayloadTooLarge = 413;
constexpr int UnprocessableContent = 422;
constexpr int TooManyRequests = 429;
constexpr int InternalServerError = 500;
constexpr int BadGateway = 502;
constexpr int ServiceUnavailable = 503;
constexpr int GatewayTimeout = 504;

constexpr int Lowest = 100;
constexpr int Highest = 599;

/// True if a response may have this status (RFC 9110, section 15). Thread safety: any thread.
constexpr bool isValid(int status)
{
    return status >= Lowest && status <= Highest;
}

} // namespace cowsliphead::httpstatus

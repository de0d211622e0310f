#include "gateway/refusalof.h"

#include "http/httpstatus.h"

namespace cowsliphead
{

namespace
{

/// A refused caller finds other endpoints' places free after about one plain request's time.
constexpr std::chrono::milliseconds ShortPause{ 100 };

/// The store's answers are missing; the next look comes within this time if the store is back.
constexpr std::chrono::milliseconds LookPause{ 500 };

} // namespace

Refusal refusalOf(ErrorCode code)
{
    switch (code) {
    case ErrorCode::RequestMalformed:
        return { httpstatus::BadRequest, code, std::nullopt };
    case ErrorCode::KeyMissing:
    case ErrorCode::KeyUnknown:
        return { httpstatus::Unauthorized, code, std::nullopt };
    case ErrorCode::RouteUnknown:
        return { httpstatus::NotFound, code, std::nullopt };
    case ErrorCode::RecordsNotLoaded:
    case ErrorCode::RecordsTooOld:
        return { httpstatus::ServiceUnavailable, code, LookPause };
    case ErrorCode::EndpointLost:
        return { httpstatus::BadGateway, code, std::nullopt };
    case ErrorCode::EndpointTimedOut:
        return { httpstatus::GatewayTimeout, code, std::nullopt };
    default:
        return { httpstatus::ServiceUnavailable, code, ShortPause };
    }
}

} // namespace cowsliphead

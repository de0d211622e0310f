#include "gateway/refusalof.h"

#include "http/httpstatus.h"

namespace cowsliphead
{

namespace
{

/// After about the time of one ordinary request, slots at other endpoints are free again.
constexpr std::chrono::milliseconds EndpointRetryDelay{ 100 };

/// The store does not answer; once it does, the next read follows within this time.
constexpr std::chrono::milliseconds StoreRetryDelay{ 500 };

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
        return { httpstatus::ServiceUnavailable, code, StoreRetryDelay };
    case ErrorCode::EndpointLost:
        return { httpstatus::BadGateway, code, std::nullopt };
    case ErrorCode::EndpointTimedOut:
        return { httpstatus::GatewayTimeout, code, std::nullopt };
    default:
        return { httpstatus::ServiceUnavailable, code, EndpointRetryDelay };
    }
}

} // namespace cowsliphead

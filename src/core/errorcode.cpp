#include "core/errorcode.h"

#include <string>

namespace cowsliphead
{

namespace
{

class ErrorCategory final : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "cowsliphead";
    }

    std::string message(int value) const override
    {
        return errorName(static_cast<ErrorCode>(value));
    }
};

} // namespace

const std::error_category &errorCategory() noexcept
{
    static const ErrorCategory category;
    return category;
}

std::error_code make_error_code(ErrorCode code) noexcept
{
    return { static_cast<int>(code), errorCategory() };
}

const char *errorName(ErrorCode code) noexcept
{
    switch (code) {
    case ErrorCode::KeyMissing:
        return "key_missing";
    case ErrorCode::KeyUnknown:
        return "key_unknown";
    case ErrorCode::KeyNotAllowed:
        return "key_not_allowed";
    case ErrorCode::RequestMalformed:
        return "request_malformed";
    case ErrorCode::RequestTooLarge:
        return "request_too_large";
    case ErrorCode::RouteUnknown:
        return "route_unknown";
    case ErrorCode::ModelUnknown:
        return "model_unknown";
    case ErrorCode::EndpointUnavailable:
        return "endpoint_unavailable";
    case ErrorCode::EndpointRefused:
        return "endpoint_refused";
    case ErrorCode::EndpointLost:
        return "endpoint_lost";
    case ErrorCode::EndpointTimedOut:
        return "endpoint_timed_out";
    case ErrorCode::EndpointAnswerMalformed:
        return "endpoint_answer_malformed";
    case ErrorCode::RetryBudgetSpent:
        return "retry_budget_spent";
    case ErrorCode::DeadlineUnreachable:
        return "deadline_unreachable";
    case ErrorCode::AccountOverLimit:
        return "account_over_limit";
    case ErrorCode::RequestQuarantined:
        return "request_quarantined";
    case ErrorCode::IdempotencyKeyInUse:
        return "idempotency_key_in_use";
    case ErrorCode::IdempotencyKeyReused:
        return "idempotency_key_reused";
    case ErrorCode::IdempotencyKeyRequired:
        return "idempotency_key_required";
    case ErrorCode::StoreUnavailable:
        return "store_unavailable";
    case ErrorCode::StoreConflict:
        return "store_conflict";
    case ErrorCode::StoreValueTooLarge:
        return "store_value_too_large";
    case ErrorCode::StoreLeaseUnknown:
        return "store_lease_unknown";
    case ErrorCode::StoreAnswerMalformed:
        return "store_answer_malformed";
    case ErrorCode::RecordMalformed:
        return "record_malformed";
    case ErrorCode::RecordSchemaUnknown:
        return "record_schema_unknown";
    case ErrorCode::RecordUnknown:
        return "record_unknown";
    case ErrorCode::SettingsMalformed:
        return "settings_malformed";
    case ErrorCode::CodecMalformed:
        return "codec_malformed";
    case ErrorCode::ListenFailed:
        return "listen_failed";
    case ErrorCode::Draining:
        return "draining";
    case ErrorCode::CallerLeft:
        return "caller_left";
    case ErrorCode::RecordsNotLoaded:
        return "records_not_loaded";
    case ErrorCode::TlsFilesUnusable:
        return "tls_files_unusable";
    case ErrorCode::PlatformUnavailable:
        return "platform_unavailable";
    case ErrorCode::PlatformRefused:
        return "platform_refused";
    case ErrorCode::OrderWithheld:
        return "order_withheld";
    }
    return "unknown_error";
}

} // namespace cowsliphead

#include "core/errorcode.h"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace cowsliphead
{

namespace
{

constexpr auto ErrorNames = std::to_array<std::pair<ErrorCode, const char *>>({
    { ErrorCode::KeyMissing, "key_missing" },
    { ErrorCode::KeyUnknown, "key_unknown" },
    { ErrorCode::KeyNotAllowed, "key_not_allowed" },
    { ErrorCode::RequestMalformed, "request_malformed" },
    { ErrorCode::RequestTooLarge, "request_too_large" },
    { ErrorCode::RouteUnknown, "route_unknown" },
    { ErrorCode::ModelUnknown, "model_unknown" },
    { ErrorCode::EndpointUnavailable, "endpoint_unavailable" },
    { ErrorCode::EndpointRefused, "endpoint_refused" },
    { ErrorCode::EndpointLost, "endpoint_lost" },
    { ErrorCode::EndpointTimedOut, "endpoint_timed_out" },
    { ErrorCode::EndpointAnswerMalformed, "endpoint_answer_malformed" },
    { ErrorCode::RetryBudgetSpent, "retry_budget_spent" },
    { ErrorCode::DeadlineUnreachable, "deadline_unreachable" },
    { ErrorCode::AccountOverLimit, "account_over_limit" },
    { ErrorCode::RequestQuarantined, "request_quarantined" },
    { ErrorCode::IdempotencyKeyInUse, "idempotency_key_in_use" },
    { ErrorCode::IdempotencyKeyReused, "idempotency_key_reused" },
    { ErrorCode::IdempotencyKeyRequired, "idempotency_key_required" },
    { ErrorCode::StoreUnavailable, "store_unavailable" },
    { ErrorCode::StoreConflict, "store_conflict" },
    { ErrorCode::StoreValueTooLarge, "store_value_too_large" },
    { ErrorCode::StoreLeaseUnknown, "store_lease_unknown" },
    { ErrorCode::StoreAnswerMalformed, "store_answer_malformed" },
    { ErrorCode::RecordMalformed, "record_malformed" },
    { ErrorCode::RecordSchemaUnknown, "record_schema_unknown" },
    { ErrorCode::RecordUnknown, "record_unknown" },
    { ErrorCode::SettingsMalformed, "settings_malformed" },
    { ErrorCode::CodecMalformed, "codec_malformed" },
    { ErrorCode::ListenFailed, "listen_failed" },
    { ErrorCode::Draining, "draining" },
    { ErrorCode::CallerLeft, "caller_left" },
    { ErrorCode::RecordsNotLoaded, "records_not_loaded" },
    { ErrorCode::TlsFilesUnusable, "tls_files_unusable" },
    { ErrorCode::PlatformUnavailable, "platform_unavailable" },
    { ErrorCode::PlatformRefused, "platform_refused" },
    { ErrorCode::OrderWithheld, "order_withheld" },
    { ErrorCode::RecordsTooOld, "records_too_old" },
    { ErrorCode::StoreHistoryGone, "store_history_gone" },
    { ErrorCode::FirstEventTooLate, "first_event_too_late" },
    { ErrorCode::QueueTooLong, "queue_too_long" },
    { ErrorCode::QueueTimedOut, "queue_timed_out" },
});

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
    const auto found = std::find_if(ErrorNames.begin(), ErrorNames.end(), [code](const auto &entry) { return entry.first == code; });
    return found == ErrorNames.end() ? "unknown_error" : found->second;
}

} // namespace cowsliphead

#pragma once

#include <system_error>

namespace cowsliphead
{

/// Every failure that the system reports. The values are stable, since logs and callers use them.
enum class ErrorCode {
    KeyMissing = 1,
    KeyUnknown,
    KeyNotAllowed,
    RequestMalformed,
    RequestTooLarge,
    RouteUnknown,
    ModelUnknown,
    EndpointUnavailable,
    EndpointRefused,
    EndpointLost,
    EndpointTimedOut,
    EndpointAnswerMalformed,
    RetryBudgetSpent,
    DeadlineUnreachable,
    AccountOverLimit,
    RequestQuarantined,
    IdempotencyKeyInUse,
    IdempotencyKeyReused,
    IdempotencyKeyRequired,
    StoreUnavailable,
    StoreConflict,
    StoreValueTooLarge,
    StoreLeaseUnknown,
    StoreAnswerMalformed,
    RecordMalformed,
    RecordSchemaUnknown,
    RecordUnknown,
    SettingsMalformed,
    CodecMalformed,
    ListenFailed,
    Draining,
    CallerLeft,
    RecordsNotLoaded,
    TlsFilesUnusable,
    PlatformUnavailable,
    PlatformRefused,
    OrderWithheld,
    RecordsTooOld,
    StoreHistoryGone,
    FirstEventTooLate,
    QueueTooLong,
    QueueTimedOut,
};

/// The category of ErrorCode. Thread safety: any thread.
const std::error_category &errorCategory() noexcept;

/// Converts an ErrorCode to std::error_code, which finds this function by argument-dependent lookup. Thread safety: any thread.
std::error_code make_error_code(ErrorCode code) noexcept; // NOLINT(readability-identifier-naming): the name is the standard library's

/// The stable lower-case name that callers and logs see, for example "key_unknown". Thread safety: any thread.
const char *errorName(ErrorCode code) noexcept;

} // namespace cowsliphead

template <>
struct std::is_error_code_enum<cowsliphead::ErrorCode> : std::true_type {
};

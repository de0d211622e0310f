#pragma once

namespace cowsliphead
{

/// Why a connection to a server ended before its answer was complete.
enum class ConnectionFailure {
    NotConnected, ///< The connection could not be opened.
    Closed, ///< The server closed or reset it.
    TimedOut, ///< The timeout of the call expired.
    Malformed, ///< The bytes received are not a response.
    TooLong, ///< More bytes were received than any response has.
    OverBudget, ///< The connections of the process together buffer more than they may.
};

/// Returns the name used in logs. Thread safety: any thread.
constexpr const char *failureName(ConnectionFailure failure)
{
    switch (failure) {
    case ConnectionFailure::NotConnected:
        return "not_connected";
    case ConnectionFailure::Closed:
        return "closed";
    case ConnectionFailure::TimedOut:
        return "timed_out";
    case ConnectionFailure::TooLong:
        return "too_long";
    case ConnectionFailure::OverBudget:
        return "over_budget";
    case ConnectionFailure::Malformed:
        break;
    }
    return "malformed";
}

} // namespace cowsliphead

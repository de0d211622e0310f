#pragma once

namespace cowsliphead
{

/// Why a connection to a server ended before its answer was complete.
enum class ConnectionFailure {
    NotConnected, ///< The connection never opened.
    Closed, ///< The server closed or reset it.
    TimedOut, ///< A connect or silence timeout of our own.
    Malformed, ///< The bytes received are not a response.
};

/// For logs. Thread safety: any thread.
constexpr const char *failureName(ConnectionFailure failure)
{
    switch (failure) {
    case ConnectionFailure::NotConnected:
        return "not_connected";
    case ConnectionFailure::Closed:
        return "closed";
    case ConnectionFailure::TimedOut:
        return "timed_out";
    case ConnectionFailure::Malformed:
        break;
    }
    return "malformed";
}

} // namespace cowsliphead

#pragma once

#include <system_error>

namespace cowsliphead
{

/// Describes an attempt at an endpoint that ended without a complete response.
struct AttemptFailure {
    std::error_code code_;

    /// False only if it is certain that no byte of the request left this process.
    bool mayHaveBeenSent_ = true;

    /// True if the endpoint reported that it ran no part of the request.
    bool wasReportedNotRun_ = false;

    /// True if the connection was lost with the request in flight, as when the endpoint crashes.
    bool isCrash_ = false;

    /// True if a reused connection went silent. This does not show that the endpoint is down: a new connection may work.
    bool isReusedConnectionSilent_ = false;
};

} // namespace cowsliphead

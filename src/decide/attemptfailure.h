#pragma once

#include <system_error>

namespace cowsliphead
{

/// How an attempt at an endpoint ended without a whole answer.
struct AttemptFailure {
    std::error_code code_;

    /// False only if it is certain that no byte of the request left this process.
    bool mayHaveBeenSent_ = true;

    /// True if the endpoint said that it ran nothing of the request.
    bool wasRefusedWhole_ = false;

    /// True if the connection was lost with the request in flight, as when the endpoint crashes.
    bool isCrash_ = false;

    /// True if an older connection went silent, which says nothing of the endpoint: a new one may work.
    bool isReusedConnectionSilent_ = false;
};

} // namespace cowsliphead

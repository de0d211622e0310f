#pragma once

#include <system_error>

namespace cowsliphead
{

/// How an attempt at an endpoint ended without a whole answer.
struct AttemptFailure {
    std::error_code code_;

    /// False only if it is certain that no byte of the request left this process.
    bool wasOffered_ = true;

    /// True if the endpoint said that it ran nothing of the request.
    bool wasRefusedWhole_ = false;
};

} // namespace cowsliphead

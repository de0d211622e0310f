#pragma once

#include <system_error>

namespace cowsliphead
{

/// Why a call ended without a complete answer, and whether the server may have received any of the request.
struct HttpCallFailure {
    std::error_code code_;

    /// False only if it is certain that no byte of the request left this process.
    bool mayHaveBeenSent_ = true;
};

} // namespace cowsliphead

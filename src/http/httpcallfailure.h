#pragma once

#include <system_error>

namespace cowsliphead
{

/// Why a call ended without a whole answer, and what the other side can have seen of it.
struct HttpCallFailure {
    std::error_code code_;

    /// False only if it is certain that no byte of the request left this process.
    bool mayHaveBeenSent_ = true;
};

} // namespace cowsliphead

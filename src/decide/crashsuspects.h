#pragma once

#include <optional>
#include <vector>

#include "decide/suspectkey.h"

namespace cowsliphead
{

/// What a request is a suspect for, if an endpoint crashes while it has the request.
struct CrashSuspects {
    /// The request itself; absent while nothing is known against any request.
    std::optional<SuspectKey> request_;

    /// The parts of its prompt that other requests may share, in their order.
    std::vector<SuspectKey> parts_;
};

} // namespace cowsliphead

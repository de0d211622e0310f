#pragma once

#include <vector>

#include "core/time.h"
#include "decide/incarnationkey.h"
#include "decide/suspectkey.h"

namespace cowsliphead
{

/// A request that an endpoint had in hand when it closed the connection.
struct CrashRecord {
    IncarnationKey endpoint_{};
    SuspectKey request_{};
    std::vector<SuspectKey> parts_;

    /// When the request was written to the endpoint.
    MonotonicTime writtenAt_;
    MonotonicTime crashedAt_;

    /// The endpoint was found alive later: it had not crashed.
    bool isRefuted_ = false;
};

} // namespace cowsliphead

#pragma once

#include <optional>

#include "decide/placement/expectedtime.h"
#include "gateway/endpointstate.h"

namespace cowsliphead
{

/// The engine that reads a prompt, and the engine from which it fetches missing parts.
struct PrefillChoice {
    EndpointState *engine_ = nullptr;

    /// Null if no other engine is likely to have them cached.
    const EndpointState *source_ = nullptr;

    /// The expected time to the first event; nothing if it was not estimated.
    std::optional<ExpectedTime> expected_{};
};

} // namespace cowsliphead

#pragma once

#include "gateway/endpointstate.h"

namespace cowsliphead
{

/// The engine that reads a prompt, and the one from which it takes the parts that it lacks.
struct PrefillChoice {
    EndpointState *engine_ = nullptr;

    /// Null if the engine itself is the one that keeps the parts.
    const EndpointState *home_ = nullptr;
};

} // namespace cowsliphead

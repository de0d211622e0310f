#pragma once

#include "gateway/endpointstate.h"

namespace cowsliphead
{

/// The engine that reads a prompt, and the one from which it takes the parts that it lacks.
struct PrefillChoice {
    EndpointState *engine_ = nullptr;

    /// Null if no other engine is likely to keep them.
    const EndpointState *source_ = nullptr;
};

} // namespace cowsliphead

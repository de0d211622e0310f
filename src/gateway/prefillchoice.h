#pragma once

#include "gateway/endpointstate.h"

namespace cowsliphead
{

/// The engine that reads a prompt, and the engine from which it fetches missing parts.
struct PrefillChoice {
    EndpointState *engine_ = nullptr;

    /// Null if no other engine is likely to have them cached.
    const EndpointState *source_ = nullptr;
};

} // namespace cowsliphead

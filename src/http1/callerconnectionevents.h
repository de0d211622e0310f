#pragma once

#include <functional>

#include "http1/callerrequest.h"

namespace cowsliphead
{

/// What happens on a caller's connection. The receiver may close the connection from within any of them.
struct CallerConnectionEvents {
    /// A request is complete; no other follows before it is answered.
    std::function<void(CallerRequest)> onRequest_;

    /// The caller left; nothing can be sent any more.
    std::function<void()> onDisconnected_;

    /// The connection took no request that it could not read; called with the status answered.
    std::function<void(int)> onRefused_;

    /// Nothing follows; the connection may be destroyed in a later turn.
    std::function<void()> onClosed_;
};

} // namespace cowsliphead

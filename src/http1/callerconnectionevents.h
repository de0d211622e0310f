#pragma once

#include <functional>

#include "http1/callerrequest.h"

namespace cowsliphead
{

/// Callbacks of a CallerConnection. The receiver may close the connection from within any of them.
struct CallerConnectionEvents {
    /// A request was read completely. The next one follows only after this one is answered.
    std::function<void(CallerRequest)> onRequest_;

    /// The caller disconnected before its request was answered; nothing can be sent any more. Called in a later iteration of the loop than the
    /// call of the connection that noticed it, so the receiver may destroy the caller of that call.
    std::function<void()> onDisconnected_;

    /// After CallerConnection::isCongested() the caller has read most of what was sent: the sender may continue.
    std::function<void()> onDrained_ = [] {};

    /// A request was malformed, too large or too slow, so the connection refused it; called with the status code of the answer.
    std::function<void(int)> onRequestRefused_;

    /// The connection was closed; called last, in a later iteration of the loop. The receiver may destroy the connection from within it.
    std::function<void()> onClosed_;
};

} // namespace cowsliphead

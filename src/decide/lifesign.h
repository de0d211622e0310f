#pragma once

#include <optional>

#include "core/time.h"
#include "decide/incarnationkey.h"

namespace cowsliphead
{

/// An answer that shows which incarnation of an endpoint was alive. An answer on a new connection that does not name the incarnation is none: the endpoint
/// may have started again under its identifier and at its address.
struct LifeSign {
    IncarnationKey endpoint_{};

    /// When the connection was opened on which the endpoint answered; a crash after that would have closed it. Absent if the answer names the incarnation.
    std::optional<MonotonicTime> openedAt_;

    /// When the endpoint was asked: it was alive then.
    MonotonicTime askedAt_;
};

} // namespace cowsliphead

#pragma once

#include <chrono>
#include <optional>

#include "core/time.h"
#include "decide/drainpolicy.h"

namespace cowsliphead
{

/// Decides when a daemon that is to stop closes its listener, and when it may end without cutting a request.
///
/// First it announces that it leaves and serves on, so that the platform's balancer sends new connections elsewhere; then it
/// closes the listener and serves what still comes on open connections; it ends once nothing has come for a while.
class DrainMachine
{
public:
    /// Thread safety: owner task only.
    explicit DrainMachine(const DrainPolicy &policy);

    /// Thread safety: owner task only.
    void begin(MonotonicTime now);

    /// A request has arrived. Thread safety: owner task only.
    void requestArrived(MonotonicTime now);

    /// True from begin() on. Thread safety: owner task only.
    bool isDraining() const;

    /// True once the listener may be closed. Thread safety: owner task only.
    bool mayCloseListener(MonotonicTime now) const;

    /// True once the daemon may end. isIdle: no answer is still to be given or written out. Thread safety: owner task only.
    bool mayEnd(MonotonicTime now, bool isIdle) const;

    /// How long to wait before asking again; nothing if only an event can change the answer. Thread safety: owner task only.
    std::optional<std::chrono::nanoseconds> nextCheck(MonotonicTime now, bool isIdle) const;

private:
    MonotonicTime endOfQuiet() const;

    DrainPolicy policy_;
    std::optional<MonotonicTime> begun_;
    MonotonicTime lastArrival_;
};

} // namespace cowsliphead

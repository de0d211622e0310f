#pragma once

#include <chrono>
#include <optional>

#include "core/time.h"
#include "decide/drainpolicy.h"

namespace cowsliphead
{

/// State machine of a graceful shutdown: decides when the daemon closes its listener, and when it may exit without cutting off a
/// request.
///
/// The daemon first announces the drain and keeps serving, so that the platform's load balancer sends new connections elsewhere. It
/// then closes the listener and serves the requests that still arrive on open connections, unless they could last longer than the
/// process. It exits once no request has arrived for the quiet period. Shortly before the process is killed, the requests that are left get
/// their final responses.
///
/// Thread safety: owner task only.
class DrainMachine
{
public:
    explicit DrainMachine(const DrainPolicy &policy);

    void begin(MonotonicTime now);

    /// A request has arrived.
    void requestArrived(MonotonicTime now);

    /// True from begin() on.
    bool isDraining() const;

    /// True once the listener may be closed.
    bool mayCloseListener(MonotonicTime now) const;

    /// True if a request that arrives now and ends by its deadline may begin.
    bool accepts(MonotonicTime deadline, MonotonicTime now) const;

    /// True once the remaining requests get their final responses.
    bool isEnding(MonotonicTime now) const;

    /// True once the daemon may exit. isIdle: no response is pending or still being written.
    bool mayEnd(MonotonicTime now, bool isIdle) const;

    /// How long to wait before checking again; nothing if only an event can change the result.
    std::optional<std::chrono::nanoseconds> nextCheck(MonotonicTime now, bool isIdle) const;

private:
    /// The longest time for writing the final responses, and the part of the grace period that it is at most.
    static constexpr std::chrono::milliseconds MaxEndMargin{ 1000 };
    static constexpr int EndMarginDivisor = 8;

    MonotonicTime quietPeriodEnd() const;
    MonotonicTime endingStart() const;

    /// When the daemon exits even if a response is still being written.
    MonotonicTime lastExit() const;

    DrainPolicy policy_;
    std::optional<MonotonicTime> drainStart_;
    MonotonicTime lastArrival_;
};

} // namespace cowsliphead

#pragma once

#include <chrono>
#include <functional>

namespace cowsliphead
{

/// Waits for SIGTERM or SIGINT, and reports each SIGHUP meanwhile. Thread safety: one thread only.
class StopSignal
{
public:
    /// Blocks these signals, so that they stay pending until wait() receives them, and ignores SIGPIPE. Precondition: called before any
    /// task is started, so that all threads inherit the signal mask.
    StopSignal();

    /// Returns once SIGTERM or SIGINT has been received. Ignores SIGHUP.
    void wait() const;

    /// Like wait(), but calls onHangUp for each SIGHUP.
    void wait(const std::function<void()> &onHangUp) const;

    /// Like wait(onHangUp), but also calls onHangUp whenever the interval passes without a signal.
    void wait(const std::function<void()> &onHangUp, std::chrono::milliseconds interval) const;
};

} // namespace cowsliphead

#pragma once

#include <chrono>
#include <functional>

namespace cowsliphead
{

/// Waits for SIGTERM or SIGINT, and for SIGHUP where that asks for something.
class StopSignal
{
public:
    /// From now on these signals wait for wait(). Precondition: called before any task is started, so that all inherit it.
    StopSignal();

    /// Returns once one of the signals has come. Thread safety: one thread only.
    void wait() const;

    /// The same, and calls back for each SIGHUP. Thread safety: one thread only.
    void wait(const std::function<void()> &onHangUp) const;

    /// The same, and calls back once an interval too. Thread safety: one thread only.
    void wait(const std::function<void()> &onHangUp, std::chrono::milliseconds interval) const;
};

} // namespace cowsliphead

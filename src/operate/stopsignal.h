#pragma once

namespace cowsliphead
{

/// Waits for SIGTERM or SIGINT.
class StopSignal
{
public:
    /// From now on both signals wait for wait(). Precondition: called before any task is started, so that all inherit it.
    StopSignal();

    /// Returns once one of the signals has come. Thread safety: one thread only.
    void wait() const;
};

} // namespace cowsliphead

#pragma once

#include <chrono>
#include <functional>

#include "core/systemclock.h"
#include "task/timer.h"

namespace cowsliphead
{

class EventLoop;

/// Lets a request wait until it may be sent again. Thread safety: the loop's task only.
class RetryWait
{
public:
    /// Three queries to the relay, which may grant a retry in answer to each.
    static constexpr std::chrono::milliseconds MaxWait{ 300 };

    /// Pause after several failed connection attempts.
    static constexpr std::chrono::milliseconds ConnectPause{ 50 };

    /// Precondition: the loop outlives the wait.
    explicit RetryWait(EventLoop &loop);

    /// Calls onEnd from a later iteration of the loop: with true once isReady answers true, with false after the limit. Replaces an earlier wait.
    void start(std::chrono::milliseconds limit, std::function<bool()> isReady, std::function<void(bool)> onEnd);

    /// Neither function is called any more.
    void cancel();

private:
    /// A fraction of the time between two messages that bring retries.
    static constexpr std::chrono::milliseconds CheckInterval{ 10 };

    void check();

    SystemClock clock_;
    Timer timer_;
    MonotonicTime endsAt_;
    std::function<bool()> isReady_;
    std::function<void(bool)> onEnd_;
};

} // namespace cowsliphead

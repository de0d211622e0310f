#pragma once

#include <chrono>
#include <functional>
#include <memory>

struct event;

namespace cowsliphead
{

class EventLoop;

/// Calls a function once after a delay, or repeatedly at an interval. Thread safety: the loop's task only.
class Timer
{
public:
    /// Precondition: the loop outlives the timer.
    Timer(EventLoop &loop, std::function<void()> callback);
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    /// Calls the callback once after the delay. Replaces the previous delay or interval.
    void startOnce(std::chrono::microseconds delay);

    /// Calls the callback repeatedly at the interval. Replaces the previous delay or interval.
    void startRepeating(std::chrono::microseconds interval);

    /// Stops the timer. It can be started again.
    void cancel();

private:
    struct FreeEvent {
        void operator()(event *timerEvent) const;
    };

    static void onElapsed(int descriptor, short what, void *self);
    void arm(std::chrono::microseconds delay);

    std::function<void()> callback_;
    std::chrono::microseconds interval_{ 0 };
    std::unique_ptr<event, FreeEvent> event_;
};

} // namespace cowsliphead

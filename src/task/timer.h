#pragma once

#include <chrono>
#include <functional>
#include <memory>

struct event;

namespace cowsliphead
{

class EventLoop;

/// Calls back once after a delay, or again and again at an interval.
class Timer
{
public:
    /// Precondition: the loop outlives the timer. Thread safety: the loop's task only.
    Timer(EventLoop &loop, std::function<void()> callback);
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    /// Calls back once after the delay; replaces what was set before. Thread safety: the loop's task only.
    void startOnce(std::chrono::microseconds delay);

    /// Calls back at each interval; replaces what was set before. Thread safety: the loop's task only.
    void startRepeating(std::chrono::microseconds interval);

    /// No call back follows, unless started again. Thread safety: the loop's task only.
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

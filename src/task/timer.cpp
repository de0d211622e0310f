#include "task/timer.h"

#include <event2/event.h>

#include "task/eventloop.h"
#include "task/timevalue.h"

namespace cowsliphead
{

Timer::Timer(EventLoop &loop, std::function<void()> callback)
    : callback_(std::move(callback))
    , event_(evtimer_new(loop.base(), &Timer::onElapsed, this))
{
}

Timer::~Timer() = default;

void Timer::startOnce(std::chrono::microseconds delay)
{
    interval_ = std::chrono::microseconds(0);
    arm(delay);
}

void Timer::startRepeating(std::chrono::microseconds interval)
{
    interval_ = interval;
    arm(interval);
}

void Timer::cancel()
{
    interval_ = std::chrono::microseconds(0);
    evtimer_del(event_.get());
}

void Timer::onElapsed(int /*descriptor*/, short /*what*/, void *self)
{
    auto *timer = static_cast<Timer *>(self);
    if (timer->interval_.count() > 0) {
        timer->arm(timer->interval_);
    }
    // The callback may destroy the timer, so it is copied and no member is accessed afterwards.
    const auto callback = timer->callback_;
    callback();
}

void Timer::arm(std::chrono::microseconds delay)
{
    const timeval value = toTimeValue(delay);
    evtimer_add(event_.get(), &value);
}

void Timer::FreeEvent::operator()(event *timerEvent) const
{
    event_free(timerEvent);
}

} // namespace cowsliphead

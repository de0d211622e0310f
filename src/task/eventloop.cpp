#include "task/eventloop.h"

#include <utility>

#include <event2/event.h>

namespace cowsliphead
{

namespace
{

/// Without EVENT_BASE_FLAG_PRECISE_TIMER libevent reads the kernel's coarse clock, whose tick of several milliseconds delays shorter timers.
event_base *newPreciseBase()
{
    event_config *config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER | EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
    event_base *base = event_base_new_with_config(config);
    event_config_free(config);
    return base;
}

} // namespace

EventLoop::EventLoop()
    : base_(newPreciseBase())
    , deferredEvent_(evtimer_new(base_.get(), &EventLoop::onDeferred, this))
{
}

EventLoop::~EventLoop()
{
    // Deferred actions may own objects that use this loop and must be destroyed before it.
    deferred_.clear();
}

void EventLoop::run()
{
    event_base_loop(base_.get(), EVLOOP_NO_EXIT_ON_EMPTY);
}

void EventLoop::stop()
{
    event_base_loopbreak(base_.get());
}

void EventLoop::defer(std::function<void()> action)
{
    deferred_.push_back(std::move(action));
    event_active(deferredEvent_.get(), EV_TIMEOUT, 0);
}

event_base *EventLoop::base() const
{
    return base_.get();
}

void EventLoop::onDeferred(int /*descriptor*/, short /*what*/, void *self)
{
    const auto actions = std::exchange(static_cast<EventLoop *>(self)->deferred_, {});
    for (const auto &action : actions) {
        action();
    }
}

void EventLoop::FreeBase::operator()(event_base *base) const
{
    event_base_free(base);
}

void EventLoop::FreeEvent::operator()(event *deferredEvent) const
{
    event_free(deferredEvent);
}

} // namespace cowsliphead

#pragma once

#include <functional>
#include <memory>
#include <vector>

struct event;
struct event_base;

namespace cowsliphead
{

/// The loop in which a task waits for its sockets, timers and messages.
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Handles events until stop() is called. Precondition: not already running. Thread safety: owner task only.
    void run();

    /// Makes run() return after the event in hand. Thread safety: owner task only; other tasks send a message.
    void stop();

    /// Calls the action once the event in hand is done with; actions left at the end are dropped. Thread safety: owner task only.
    void defer(std::function<void()> action);

    /// The libevent base, for the classes that wrap a libevent object. Thread safety: owner task only.
    event_base *base() const;

private:
    struct FreeBase {
        void operator()(event_base *base) const;
    };

    struct FreeEvent {
        void operator()(event *deferredEvent) const;
    };

    static void onDeferred(int descriptor, short what, void *self);

    std::unique_ptr<event_base, FreeBase> base_;
    std::unique_ptr<event, FreeEvent> deferredEvent_;
    std::vector<std::function<void()>> deferred_;
};

} // namespace cowsliphead

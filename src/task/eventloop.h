#pragma once

#include <functional>
#include <memory>
#include <vector>

struct event;
struct event_base;

namespace cowsliphead
{

/// A libevent loop that dispatches the socket, timer and message events of one task. Thread safety: owner task only.
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Handles events until stop() is called. Precondition: not already running.
    void run();

    /// Makes run() return after the current event. To stop the loop from another task, send its owner a message.
    void stop();

    /// Calls the action after the current event is handled. Actions that are still queued when the loop is destroyed are dropped.
    void defer(std::function<void()> action);

    /// The libevent base, for classes that wrap a libevent object.
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

#pragma once

#include <functional>
#include <memory>

struct event;

namespace cowsliphead
{

class EventLoop;

/// Wakes an event loop from any thread through an eventfd that the loop polls.
class Wakeup
{
public:
    Wakeup();
    ~Wakeup();
    Wakeup(const Wakeup &) = delete;
    Wakeup &operator=(const Wakeup &) = delete;

    /// Calls the callback in the loop after one or more signals. Precondition: called once. Thread safety: the loop's task only.
    void attach(EventLoop &loop, std::function<void()> callback);

    /// Stops calling the callback. Later signals have no effect. Thread safety: the loop's task only.
    void detach();

    /// Thread safety: any thread.
    void signal();

private:
    struct FreeEvent {
        void operator()(event *readEvent) const;
    };

    static void onReadable(int descriptor, short what, void *self);

    int descriptor_;
    std::function<void()> callback_;
    std::unique_ptr<event, FreeEvent> event_;
};

} // namespace cowsliphead

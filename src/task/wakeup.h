#pragma once

#include <functional>
#include <memory>

struct event;

namespace cowsliphead
{

class EventLoop;

/// Wakes one event loop from any thread through a descriptor that the loop waits on.
class Wakeup
{
public:
    Wakeup();
    ~Wakeup();
    Wakeup(const Wakeup &) = delete;
    Wakeup &operator=(const Wakeup &) = delete;

    /// Calls back in the loop after each run of signals. Precondition: called once. Thread safety: the loop's task only.
    void attach(EventLoop &loop, std::function<void()> callback);

    /// Ends the call backs; signals after it are kept for nobody. Thread safety: the loop's task only.
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

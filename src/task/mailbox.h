#pragma once

#include <functional>
#include <memory>
#include <utility>

#include <boost/lockfree/queue.hpp>

#include "task/wakeup.h"

namespace cowsliphead
{

class EventLoop;

/// A queue of messages to one task: any thread posts messages, only the owner task receives them.
template <typename Message>
class Mailbox
{
public:
    Mailbox() = default;

    ~Mailbox()
    {
        drain([](Message &&) {});
    }

    Mailbox(const Mailbox &) = delete;
    Mailbox &operator=(const Mailbox &) = delete;

    /// Enqueues a message. Messages from one sender are received in the order in which they were posted. Thread safety: any thread.
    void post(Message message)
    {
        queue_.push(new Message(std::move(message)));
        wakeup_.signal();
    }

    /// Calls the receiver in the loop's task for each message. Precondition: called once. Thread safety: the loop's task only.
    void attach(EventLoop &loop, std::function<void(Message &&)> receiver)
    {
        wakeup_.attach(loop, [this, receiver = std::move(receiver)] { drain(receiver); });
    }

    /// Stops calling the receiver. Thread safety: the loop's task only.
    void detach()
    {
        wakeup_.detach();
    }

private:
    template <typename Receiver>
    void drain(const Receiver &receiver)
    {
        Message *next = nullptr;
        while (queue_.pop(next)) {
            const std::unique_ptr<Message> message(next);
            receiver(std::move(*message));
        }
    }

    static constexpr std::size_t InitialCapacity = 64;

    boost::lockfree::queue<Message *> queue_{ InitialCapacity };
    Wakeup wakeup_;
};

} // namespace cowsliphead

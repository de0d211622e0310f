#pragma once

#include <functional>
#include <memory>
#include <utility>

#include <boost/lockfree/queue.hpp>

#include "task/wakeup.h"

namespace cowsliphead
{

class EventLoop;

/// Messages on their way to one task. Any task posts; only the owner takes them out.
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

    /// Puts a message in; the order of one sender's messages is kept. Thread safety: any thread.
    void post(Message message)
    {
        queue_.push(new Message(std::move(message)));
        wakeup_.signal();
    }

    /// Hands each message to the receiver in the loop's task. Precondition: called once. Thread safety: the loop's task only.
    void attach(EventLoop &loop, std::function<void(Message &&)> receiver)
    {
        wakeup_.attach(loop, [this, receiver = std::move(receiver)] { drain(receiver); });
    }

    /// No message is handed on any more. Thread safety: the loop's task only.
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

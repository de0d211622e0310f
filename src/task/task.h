#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <thread>
#include <utility>

#include "task/address.h"
#include "task/eventloop.h"
#include "task/mailbox.h"
#include "task/taskbehaviour.h"

namespace cowsliphead
{

/// A thread with an event loop and a mailbox that creates, runs and destroys one behaviour.
template <TaskBehaviour Behaviour>
class Task
{
public:
    using Message = typename Behaviour::Message;

    /// Creates the behaviour in the new thread, so that all objects it owns belong to that thread.
    using Factory = std::function<std::unique_ptr<Behaviour>(EventLoop &)>;

    Task() = default;

    ~Task()
    {
        stop();
    }

    Task(const Task &) = delete;
    Task &operator=(const Task &) = delete;

    /// Starts the thread. Precondition: called once. Thread safety: the task's owner only.
    void start(Factory factory)
    {
        thread_ = std::thread([mailbox = mailbox_, factory = std::move(factory)] { runLoop(*mailbox, factory); });
    }

    /// Stops the loop, destroys the behaviour in its thread and waits for the thread to end. Thread safety: the task's owner only.
    void stop()
    {
        if (thread_.joinable()) {
            mailbox_->post(std::nullopt);
            thread_.join();
        }
    }

    /// Waits for the thread to end after the behaviour has stopped its own loop. Thread safety: the task's owner only.
    void join()
    {
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    /// Sends a message to the behaviour. Thread safety: any thread.
    void send(Message message)
    {
        mailbox_->post(std::move(message));
    }

    /// An address for one of the types that the behaviour's Message can hold. It stays valid after the task is destroyed; messages are
    /// then dropped. Thread safety: any thread.
    template <typename Part>
    Address<Part> address() const
    {
        return Address<Part>([mailbox = mailbox_](Part part) { mailbox->post(Message(std::move(part))); });
    }

private:
    /// A message, or std::nullopt to stop the task.
    using Envelope = std::optional<Message>;

    static void runLoop(Mailbox<Envelope> &mailbox, const Factory &factory)
    {
        EventLoop loop;
        auto behaviour = factory(loop);
        mailbox.attach(loop, [&](Envelope &&envelope) {
            if (envelope) {
                behaviour->receive(std::move(*envelope));
            } else {
                loop.stop();
            }
        });
        loop.run();
        mailbox.detach();
        behaviour.reset();
    }

    std::shared_ptr<Mailbox<Envelope>> mailbox_ = std::make_shared<Mailbox<Envelope>>();
    std::thread thread_;
};

} // namespace cowsliphead

#pragma once

#include <cstdint>
#include <future>
#include <memory>

#include "core/result.h"
#include "task/task.h"

namespace cowsliphead
{

/// Starts a task whose behaviour listens on a port, and blocks until it listens. make creates the behaviour from the task's EventLoop,
/// listen starts listening. Returns the port. Errors: those of listen. Thread safety: the task's owner only.
template <TaskBehaviour Behaviour, typename Make, typename Listen>
Result<std::uint16_t> startListening(Task<Behaviour> &task, Make make, Listen listen)
{
    const auto promise = std::make_shared<std::promise<Result<std::uint16_t>>>();
    auto port = promise->get_future();
    task.start([promise, make = std::move(make), listen = std::move(listen)](EventLoop &loop) {
        auto behaviour = make(loop);
        promise->set_value(listen(*behaviour));
        return behaviour;
    });
    return port.get();
}

} // namespace cowsliphead

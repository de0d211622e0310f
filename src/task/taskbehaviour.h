#pragma once

#include <utility>

namespace cowsliphead
{

/// What a task does with its messages. It lives in the task's thread and owns its sockets and state.
template <typename T>
concept TaskBehaviour = requires(T behaviour, typename T::Message message)
{
    behaviour.receive(std::move(message));
};

} // namespace cowsliphead

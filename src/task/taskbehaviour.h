#pragma once

#include <utility>

namespace cowsliphead
{

/// Handles the messages of a task. A behaviour exists only in the task's thread and owns the task's sockets and state.
template <typename T>
concept TaskBehaviour = requires(T behaviour, typename T::Message message)
{
    behaviour.receive(std::move(message));
};

} // namespace cowsliphead

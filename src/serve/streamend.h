#pragma once

#include <string_view>

namespace cowsliphead
{

/// Tells which event of a stream is the last one.
template <typename T>
concept StreamEnd = requires(std::string_view event)
{
    {
        T::isLast(event)
        } -> std::same_as<bool>;
};

} // namespace cowsliphead

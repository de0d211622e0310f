#pragma once

#include <algorithm>
#include <iterator>
#include <optional>
#include <vector>

namespace cowsliphead
{

/// Converts each item by the toWire() of its type. Thread safety: any thread.
template <typename Wire, typename Items>
std::vector<Wire> allToWire(const Items &items)
{
    std::vector<Wire> wire;
    std::transform(items.begin(), items.end(), std::back_inserter(wire), [](const auto &item) { return toWire(item); });
    return wire;
}

/// Reverses allToWire(). Thread safety: any thread.
template <typename Item, typename Wire>
std::vector<Item> allFromWire(const std::vector<Wire> &wire)
{
    std::vector<Item> items;
    std::transform(wire.begin(), wire.end(), std::back_inserter(items), [](const Wire &item) { return fromWire(item); });
    return items;
}

/// An optional item is an array of at most one element. Thread safety: any thread.
template <typename Wire, typename Item>
std::vector<Wire> optionalToWire(const std::optional<Item> &item)
{
    return item ? std::vector<Wire>{ toWire(*item) } : std::vector<Wire>();
}

/// Reverses optionalToWire(). Thread safety: any thread.
template <typename Item, typename Wire>
std::optional<Item> optionalFromWire(const std::vector<Wire> &wire)
{
    return wire.empty() ? std::nullopt : std::optional<Item>(fromWire(wire.front()));
}

} // namespace cowsliphead

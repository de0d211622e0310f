#pragma once

#include <algorithm>
#include <iterator>
#include <optional>
#include <set>
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

/// True if the keys ascend, so that none occurs twice. Thread safety: any thread.
template <typename Item, typename KeyOf>
bool isStrictlyAscending(const std::vector<Item> &items, KeyOf keyOf)
{
    const auto isOutOfOrder = [&keyOf](const Item &left, const Item &right) { return keyOf(left) >= keyOf(right); };
    return std::adjacent_find(items.begin(), items.end(), isOutOfOrder) == items.end();
}

/// True if no key occurs twice, in any order. Thread safety: any thread.
template <typename Item, typename KeyOf>
bool hasEachKeyOnce(const std::vector<Item> &items, KeyOf keyOf)
{
    std::set<decltype(keyOf(items.front()))> keys;
    return std::all_of(items.begin(), items.end(), [&](const Item &item) { return keys.insert(keyOf(item)).second; });
}

} // namespace cowsliphead

#pragma once

#include <cstdint>
#include <list>
#include <string_view>

namespace cowsliphead
{

/// The prompt prefixes that an engine stand-in remembers, in whole pieces; the least recently used piece goes first.
class EnginePrefixCache
{
public:
    /// Thread safety: owner task only.
    explicit EnginePrefixCache(std::uint32_t capacity);

    /// Remembers the prompt's pieces; returns how many of its first ones were known already. Thread safety: owner task only.
    std::uint32_t use(std::string_view prompt, std::size_t pieceCharacters);

private:
    bool touch(std::size_t prefixHash);

    std::uint32_t capacity_;

    /// Hashes of prefixes, the latest used first.
    std::list<std::size_t> prefixes_;
};

} // namespace cowsliphead

#pragma once

#include <cstdint>
#include <list>
#include <string_view>

namespace cowsliphead
{

/// A least-recently-used cache of prompt prefixes, in whole pieces. Thread safety: owner task only.
class EnginePrefixCache
{
public:
    /// capacity: in pieces.
    explicit EnginePrefixCache(std::uint32_t capacity);

    /// Caches the prompt's pieces. Returns how many pieces at its start were cached already.
    std::uint32_t lookUpAndInsert(std::string_view prompt, std::size_t pieceCharacters);

private:
    bool touch(std::size_t prefixHash);

    std::uint32_t capacity_;

    /// Hashes of prefixes, most recently used first.
    std::list<std::size_t> prefixes_;
};

} // namespace cowsliphead

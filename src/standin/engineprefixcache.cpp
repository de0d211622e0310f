#include "standin/engineprefixcache.h"

#include <algorithm>
#include <functional>

namespace cowsliphead
{

EnginePrefixCache::EnginePrefixCache(std::uint32_t capacity)
    : capacity_(capacity)
{
}

std::uint32_t EnginePrefixCache::lookUpAndInsert(std::string_view prompt, std::size_t pieceCharacters)
{
    std::uint32_t knownPieces = 0;
    bool areAllKnown = true;
    for (std::size_t end = pieceCharacters; end <= prompt.size(); end += pieceCharacters) {
        const bool wasKnown = touch(std::hash<std::string_view>()(prompt.substr(0, end)));
        areAllKnown = areAllKnown && wasKnown;
        knownPieces += areAllKnown ? 1 : 0;
    }
    return knownPieces;
}

bool EnginePrefixCache::touch(std::size_t prefixHash)
{
    const auto found = std::find(prefixes_.begin(), prefixes_.end(), prefixHash);
    if (found != prefixes_.end()) {
        prefixes_.splice(prefixes_.begin(), prefixes_, found);
        return true;
    }
    prefixes_.push_front(prefixHash);
    if (prefixes_.size() > capacity_) {
        prefixes_.pop_back();
    }
    return false;
}

} // namespace cowsliphead

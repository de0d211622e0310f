#include "decide/blamedsuspects.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cowsliphead
{

namespace
{

/// True if the crashes leave open which of the two parts causes them.
bool isAlternative(const CrashEvidence &other, const CrashEvidence &blamed, std::size_t crashesInARow)
{
    if (other.suspect() == blamed.suspect() || !other.isPart() || !blamed.isPart() || other.wasAnswered() != blamed.wasAnswered()) {
        return false;
    }
    const auto explained = other.endpoints();
    const auto crashed = blamed.endpoints();
    const auto common = std::count_if(crashed.begin(), crashed.end(), [&explained](auto endpoint) { return explained.contains(endpoint); });
    const auto rest = crashed.size() - static_cast<std::size_t>(common);
    return rest < crashesInARow && static_cast<std::size_t>(common) >= crashesInARow;
}

std::vector<SuspectKey> alternativesTo(const CrashEvidence &blamed, const std::vector<CrashEvidence> &suspects, std::size_t crashesInARow)
{
    std::vector<SuspectKey> alternatives;
    for (const auto &other : suspects) {
        if (isAlternative(other, blamed, crashesInARow)) {
            alternatives.push_back(other.suspect());
        }
    }
    return alternatives;
}

} // namespace

std::vector<Blame> blamedSuspects(std::vector<CrashEvidence> suspects, std::size_t crashesInARow)
{
    std::erase_if(suspects, [crashesInARow](const auto &evidence) { return evidence.crashesInARow() < crashesInARow; });
    std::sort(suspects.begin(), suspects.end(), [](const auto &left, const auto &right) { return left.isLikelierThan(right); });
    std::set<IncarnationKey> explained;
    std::vector<Blame> blames;
    for (const auto &evidence : suspects) {
        if (evidence.crashesInARow(explained) >= crashesInARow) {
            explained.merge(evidence.endpoints());
            blames.push_back({ evidence, alternativesTo(evidence, suspects, crashesInARow) });
        }
    }
    return blames;
}

} // namespace cowsliphead

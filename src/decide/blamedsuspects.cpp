#include "decide/blamedsuspects.h"

#include <algorithm>
#include <cstddef>
#include <set>
#include <utility>

namespace cowsliphead
{

namespace
{

/// True if the crashes leave open which of the two parts causes them: the other one was there at most of them.
bool isAlternative(const CrashEvidence &other, const CrashEvidence &blamed)
{
    if (other.suspect() == blamed.suspect() || !other.isPart() || !blamed.isPart() || other.wasAnswered() != blamed.wasAnswered()) {
        return false;
    }
    const auto &explained = other.endpoints();
    const auto &crashed = blamed.endpoints();
    const auto common = std::count_if(crashed.begin(), crashed.end(), [&explained](auto endpoint) { return explained.contains(endpoint); });
    const auto rest = static_cast<std::ptrdiff_t>(crashed.size()) - common;
    return rest < common && rest < static_cast<std::ptrdiff_t>(CrashEvidence::BlamedInARow);
}

std::vector<SuspectKey> alternativesTo(const CrashEvidence &blamed, const std::vector<CrashEvidence> &suspects)
{
    std::vector<SuspectKey> alternatives;
    for (const auto &other : suspects) {
        if (isAlternative(other, blamed)) {
            alternatives.push_back(other.suspect());
        }
    }
    return alternatives;
}

/// Endpoints that crashed under parts which were never answered. A part that was answered before is not blamed for these.
std::set<IncarnationKey> crashesUnderUnknownParts(const std::vector<CrashEvidence> &suspects)
{
    std::set<IncarnationKey> endpoints;
    for (const auto &evidence : suspects) {
        if (evidence.isPart() && !evidence.wasAnswered()) {
            endpoints.insert(evidence.endpoints().begin(), evidence.endpoints().end());
        }
    }
    return endpoints;
}

} // namespace

std::vector<Blame> blamedSuspects(std::vector<CrashEvidence> suspects)
{
    const auto underUnknownParts = crashesUnderUnknownParts(suspects);
    std::sort(suspects.begin(), suspects.end(), [](const auto &left, const auto &right) { return left.isLikelierThan(right); });
    std::set<IncarnationKey> explained;
    std::vector<Blame> blames;
    for (const auto &evidence : suspects) {
        auto otherwiseExplained = explained;
        if (evidence.wasAnswered()) {
            otherwiseExplained.insert(underUnknownParts.begin(), underUnknownParts.end());
        }
        if (evidence.suffices(otherwiseExplained)) {
            explained.insert(evidence.endpoints().begin(), evidence.endpoints().end());
            blames.push_back({ evidence, alternativesTo(evidence, suspects) });
        }
    }
    return blames;
}

} // namespace cowsliphead

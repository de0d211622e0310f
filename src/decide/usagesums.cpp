#include "decide/usagesums.h"

namespace cowsliphead
{

void addUsage(UsageSums &sums, const UsageSums &added)
{
    for (const auto &[subject, figures] : added) {
        sums[subject] += figures;
    }
}

UsageSums usageDifference(const UsageSums &sums, const UsageSums &subtracted)
{
    auto rest = sums;
    for (const auto &[subject, figures] : subtracted) {
        rest[subject] -= figures;
    }
    std::erase_if(rest, [](const auto &line) { return line.second == UsageFigures(); });
    return rest;
}

} // namespace cowsliphead

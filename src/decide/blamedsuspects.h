#pragma once

#include <cstddef>
#include <vector>

#include "decide/blame.h"

namespace cowsliphead
{

/// Returns the suspects with at least so many crashes in a row that no likelier suspect explains. Thread safety: any thread.
std::vector<Blame> blamedSuspects(std::vector<CrashEvidence> suspects, std::size_t crashesInARow);

} // namespace cowsliphead

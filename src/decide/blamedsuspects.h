#pragma once

#include <vector>

#include "decide/blame.h"

namespace cowsliphead
{

/// Returns the suspects whose crashes suffice, without those that a likelier suspect explains. Precondition: all isSuspected(). Thread safety:
/// any thread.
std::vector<Blame> blamedSuspects(std::vector<CrashEvidence> suspects);

} // namespace cowsliphead

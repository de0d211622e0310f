#pragma once

#include <vector>

#include "decide/crashevidence.h"
#include "decide/suspectkey.h"

namespace cowsliphead
{

/// A suspect that is to blame for crashes.
struct Blame {
    CrashEvidence evidence_;

    /// Other parts of prompts that were there at almost all of these crashes, too. A request that lacks one of them shows which part it is.
    std::vector<SuspectKey> alternatives_;
};

} // namespace cowsliphead

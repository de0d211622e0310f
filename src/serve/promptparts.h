#pragma once

#include <string>
#include <vector>

#include "decide/suspectkey.h"

namespace cowsliphead
{

/// Returns the keys of the messages in a completion's prompt that other requests may share: all but the last one. Empty if the body is no
/// such request. Thread safety: any thread.
std::vector<SuspectKey> sharedPromptParts(const std::string &body);

} // namespace cowsliphead

#pragma once

#include <cstdint>
#include <optional>

#include "core/time.h"
#include "decide/admission/firsteventestimate.h"
#include "gateway/placement.h"

namespace cowsliphead
{

/// Estimates when the best of these engines would send the first event of a prompt that it is sent now. tokens: those that no engine is
/// expected to have cached. Nothing without candidates, or if no recent report tells the load of one of them: that one may be idle. Thread
/// safety: owner task only.
std::optional<FirstEventEstimate> firstEventEstimate(const placement::Candidates &engines, std::uint64_t tokens, MonotonicTime now);

} // namespace cowsliphead

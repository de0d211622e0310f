#pragma once

#include <cstddef>
#include <optional>
#include <unordered_map>

#include "core/time.h"
#include "decide/suspectkey.h"

namespace cowsliphead
{

/// When the parts of prompts, and requests, were last answered, as far back as a bounded memory reaches. Crashes that other gateways report
/// late are compared with it. Thread safety: owner task only.
class RecentAnswers
{
public:
    void add(SuspectKey suspect, MonotonicTime now);

    /// Nothing if it was not answered, or too long ago.
    std::optional<MonotonicTime> lastOf(SuspectKey suspect) const;

private:
    /// Suspects in one of the two generations.
    static constexpr std::size_t MaxSuspects = 4096;

    /// The older generation is dropped whenever the newer one is full.
    std::unordered_map<SuspectKey, MonotonicTime> newer_;
    std::unordered_map<SuspectKey, MonotonicTime> older_;
};

} // namespace cowsliphead

#pragma once

#include <cstdint>

namespace cowsliphead
{

/// Endpoints of a service by stage, without those that are leaving.
struct StageCounts {
    std::uint32_t prefill_ = 0;

    /// Endpoints that stream answers.
    std::uint32_t decode_ = 0;
};

} // namespace cowsliphead

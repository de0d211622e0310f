#pragma once

#include <cstdint>

namespace cowsliphead
{

/// What an engine stand-in has to do at one time.
struct EngineLoad {
    std::uint32_t running_ = 0;
    std::uint32_t waiting_ = 0;
    std::uint32_t usedPieces_ = 0;

    /// Answers since the start whose client left.
    std::uint64_t cancelled_ = 0;

    /// Answers since the start that ended whole.
    std::uint64_t completed_ = 0;
};

} // namespace cowsliphead

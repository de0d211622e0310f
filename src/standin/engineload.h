#pragma once

#include <cstdint>

namespace cowsliphead
{

/// The current load of an engine stand-in.
struct EngineLoad {
    std::uint32_t running_ = 0;
    std::uint32_t waiting_ = 0;
    std::uint32_t usedPieces_ = 0;

    /// Answers since the start whose client disconnected.
    std::uint64_t cancelled_ = 0;

    /// Answers since the start that were completed.
    std::uint64_t completed_ = 0;
};

} // namespace cowsliphead

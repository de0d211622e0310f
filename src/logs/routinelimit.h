#pragma once

#include <chrono>
#include <cstdint>

#include "core/time.h"

namespace cowsliphead
{

/// Bounds the log lines of what went well, so that the log's volume does not grow with the load. What went wrong is not counted here.
class RoutineLimit
{
public:
    /// Lines a second that are written.
    static constexpr std::uint32_t LinesPerSecond = 120;

    /// True if a line may be written at that time. Thread safety: owner task only.
    bool admits(MonotonicTime now)
    {
        if (now - periodBegan_ >= std::chrono::seconds(1)) {
            periodBegan_ = now;
            lines_ = 0;
        }
        if (lines_ >= LinesPerSecond) {
            ++omitted_;
            return false;
        }
        ++lines_;
        return true;
    }

    /// Lines left out since the last call. Thread safety: owner task only.
    std::uint64_t takeOmitted()
    {
        const auto omitted = omitted_;
        omitted_ = 0;
        return omitted;
    }

private:
    MonotonicTime periodBegan_;
    std::uint32_t lines_ = 0;
    std::uint64_t omitted_ = 0;
};

} // namespace cowsliphead

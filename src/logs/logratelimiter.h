#pragma once

#include <chrono>
#include <cstdint>

#include "core/time.h"

namespace cowsliphead
{

/// Limits the rate of log lines about normal operation, so that the log's volume does not grow with the load. Lines about failures are
/// not limited. Thread safety: owner task only.
class LogRateLimiter
{
public:
    /// The maximum number of lines written per second.
    static constexpr std::uint32_t LinesPerSecond = 120;

    /// Counts a line at that time. Returns true if it may be written, false if the limit omits it.
    bool tryAcquire(MonotonicTime now)
    {
        if (now - periodStart_ >= std::chrono::seconds(1)) {
            periodStart_ = now;
            lines_ = 0;
        }
        if (lines_ >= LinesPerSecond) {
            ++omitted_;
            return false;
        }
        ++lines_;
        return true;
    }

    /// Returns the number of lines omitted since the last call.
    std::uint64_t takeOmitted()
    {
        const auto omitted = omitted_;
        omitted_ = 0;
        return omitted;
    }

private:
    MonotonicTime periodStart_;
    std::uint32_t lines_ = 0;
    std::uint64_t omitted_ = 0;
};

} // namespace cowsliphead

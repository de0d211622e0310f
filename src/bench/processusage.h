#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <sys/types.h>

#include "core/result.h"

namespace cowsliphead
{

/// What processes have used.
struct ProcessUsage {
    /// Time on a processor since their start.
    std::chrono::nanoseconds processorTime_{ 0 };

    /// Memory resident now.
    std::uint64_t residentBytes_ = 0;

    /// Bytes taken in by read calls since their start, sockets included.
    std::uint64_t readBytes_ = 0;

    /// Bytes given out by write calls since their start, sockets included.
    std::uint64_t writtenBytes_ = 0;

    /// What was used since the earlier reading; memory stays what it is now. Thread safety: any thread.
    ProcessUsage since(const ProcessUsage &earlier) const;

    /// By name with its unit. Thread safety: any thread.
    std::map<std::string, double> values() const;
};

/// The sum over the processes. Errors: those of the system, if one is gone or may not be read. Thread safety: any thread.
Result<ProcessUsage> readProcessUsage(const std::vector<pid_t> &processes);

} // namespace cowsliphead

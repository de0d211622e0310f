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

/// Resource usage of one or more processes.
struct ProcessUsage {
    /// Processor time since the processes started.
    std::chrono::nanoseconds processorTime_{ 0 };

    /// Current resident memory.
    std::uint64_t residentBytes_ = 0;

    /// Bytes read by system calls since the processes started, sockets included.
    std::uint64_t readBytes_ = 0;

    /// Bytes written by system calls since the processes started, sockets included.
    std::uint64_t writtenBytes_ = 0;

    /// Usage since the earlier reading; resident memory stays the current value. Thread safety: any thread.
    ProcessUsage since(const ProcessUsage &earlier) const;

    /// Values by name; a name ends in its unit. Thread safety: any thread.
    std::map<std::string, double> values() const;
};

/// Reads the total usage of the processes. Errors: system errors, if a process has ended or cannot be read. Thread safety: any thread.
Result<ProcessUsage> readProcessUsage(const std::vector<pid_t> &processes);

} // namespace cowsliphead

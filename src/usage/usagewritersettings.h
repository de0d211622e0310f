#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace cowsliphead
{

/// Settings of a usage writer.
struct UsageWriterSettings {
    std::uint32_t shard_ = 0;

    /// Identifies one run of one instance; unique among all runs.
    std::string incarnation_;
    std::chrono::milliseconds windowLength_{ 300000 };

    /// How long the writer repeats a write whose outcome is unknown, which may create the counter; after that it reads the counter first.
    /// Must be shorter than the time for which reporters keep a frozen counter, so that an erased one is never created again.
    std::chrono::milliseconds unconfirmedWriteTimeout_{ std::chrono::hours(12) };
};

} // namespace cowsliphead

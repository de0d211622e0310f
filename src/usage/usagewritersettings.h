#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace cowsliphead
{

/// Whose counter a usage writer keeps, and how.
struct UsageWriterSettings {
    std::uint32_t shard_ = 0;

    /// One run of one instance; no two have the same.
    std::string incarnation_;
    std::chrono::milliseconds windowLength_{ 300000 };

    /// How long an absent counter may still be created by a write whose answer was lost. Shorter than the time for which reporters
    /// keep a frozen counter, so that an erased one is never created again.
    std::chrono::milliseconds unconfirmedWriteTimeout_{ std::chrono::hours(12) };
};

} // namespace cowsliphead

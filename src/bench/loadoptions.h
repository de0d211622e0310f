#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <sys/types.h>

#include "bench/loadtarget.h"

namespace cowsliphead
{

/// A load: so many requests, bounded in time as well.
struct LoadOptions {
    /// Requests go to each target in turn.
    std::vector<LoadTarget> targets_;

    /// The processes whose use is measured.
    std::vector<pid_t> processes_;
    std::string model_ = "small";
    std::uint32_t requests_ = 1000;
    std::uint32_t tokens_ = 1;
    std::uint32_t promptCharacters_ = 100;
    bool isStreamed_ = false;

    /// Requests in flight while there is no rate, and the bound on them while there is one.
    std::uint32_t concurrency_ = 16;

    /// Arrivals a second with exponential gaps; 0 starts a request whenever one ends.
    double rate_ = 0;

    /// After this time no request is started.
    std::chrono::seconds longest_{ 60 };
    std::uint64_t seed_ = 1;
};

} // namespace cowsliphead

#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <sys/types.h>

#include "bench/loadtarget.h"

namespace cowsliphead
{

/// Options of a load: a number of requests, also limited in time.
struct LoadOptions {
    /// Requests are sent to the targets in turn.
    std::vector<LoadTarget> targets_;

    /// The processes whose resource usage is measured.
    std::vector<pid_t> processes_;
    std::string model_ = "small";
    std::uint32_t requests_ = 1000;
    std::uint32_t tokens_ = 1;
    std::uint32_t promptCharacters_ = 100;
    bool isStreamed_ = false;

    /// Number of requests kept in flight if there is no rate, and their maximum if there is one.
    std::uint32_t concurrency_ = 16;

    /// Requests per second, with exponentially distributed intervals; 0 starts a request whenever one ends.
    double rate_ = 0;

    /// No request is started after this time.
    std::chrono::seconds maxDuration_{ 60 };
    std::uint64_t seed_ = 1;
};

} // namespace cowsliphead

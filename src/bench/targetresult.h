#pragma once

#include <cstdint>

#include "bench/latencyhistogram.h"

namespace cowsliphead
{

/// Measurements of the requests to one target.
struct TargetResult {
    std::uint64_t requests_ = 0;
    std::uint64_t failed_ = 0;
    std::uint64_t tokens_ = 0;

    /// From sending a request until the first data of its answer's body.
    LatencyHistogram firstToken_;

    /// Between consecutive arrivals of body data.
    LatencyHistogram betweenTokens_;

    /// From sending a request until the end of its answer.
    LatencyHistogram whole_;
};

} // namespace cowsliphead

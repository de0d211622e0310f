#pragma once

#include <cstdint>

#include "bench/latencyhistogram.h"

namespace cowsliphead
{

/// What the requests to one target gave.
struct TargetResult {
    std::uint64_t requests_ = 0;
    std::uint64_t failed_ = 0;
    std::uint64_t tokens_ = 0;

    /// From sending a request until the first byte of its body.
    LatencyHistogram firstToken_;

    /// Between one arrival of body bytes and the next.
    LatencyHistogram betweenTokens_;

    /// From sending a request until the end of its answer.
    LatencyHistogram whole_;
};

} // namespace cowsliphead

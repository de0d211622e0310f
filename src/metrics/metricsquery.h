#pragma once

#include <cstdint>

#include "metrics/metricsreport.h"
#include "task/address.h"

namespace cowsliphead
{

/// Asks a task for its metrics.
struct MetricsQuery {
    /// Identifies the query; the answer repeats it.
    std::uint64_t query_ = 0;
    Address<MetricsReport> answerTo_;
};

} // namespace cowsliphead

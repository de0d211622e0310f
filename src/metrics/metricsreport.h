#pragma once

#include <cstdint>
#include <string>

namespace cowsliphead
{

/// A task's answer to a MetricsQuery.
struct MetricsReport {
    /// The query_ of the answered MetricsQuery.
    std::uint64_t query_ = 0;

    /// Families of metrics in the Prometheus text format.
    std::string text_;
};

} // namespace cowsliphead

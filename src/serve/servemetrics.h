#pragma once

#include <string>

#include "metrics/counterfamily.h"
#include "metrics/durationhistogram.h"

namespace cowsliphead
{

/// Metrics of the serving task.
struct ServeMetrics {
    CounterFamily requests_{ "cowsliphead_requests_total", "Requests ended, by client account, outcome and error." };
    CounterFamily attempts_{ "cowsliphead_attempts_total", "Attempts at endpoints ended, by endpoint and error." };
    DurationHistogram firstByte_{ "cowsliphead_first_byte_seconds", "Time from a request's arrival to the first byte of its answer." };
    DurationHistogram duration_{ "cowsliphead_request_seconds", "Time from a request's arrival to the end of its answer." };

    /// All metric families in the Prometheus text format. Thread safety: call only from the owning task.
    std::string toText() const;
};

} // namespace cowsliphead

#pragma once

#include <string>

#include "metrics/counterfamily.h"
#include "metrics/durationhistogram.h"

namespace cowsliphead
{

/// Metrics of a gateway. Thread safety: owner task only.
struct GatewayMetrics {
    CounterFamily requests_{ "cowsliphead_gateway_requests_total", "Requests by the status answered." };
    CounterFamily attempts_{ "cowsliphead_gateway_attempts_total", "Dispatches to endpoints by how they ended." };
    CounterFamily retries_{ "cowsliphead_gateway_retries_total", "Dispatches beyond the first, by service." };
    CounterFamily crashes_{ "cowsliphead_gateway_connections_lost_total", "Connections that endpoints closed with a request in hand, by service." };
    CounterFamily endpointFailures_{ "cowsliphead_gateway_endpoint_failures_total", "Failures of endpoints that are told to the other gateways, by kind." };
    CounterFamily retryWaits_{ "cowsliphead_gateway_retry_waits_total", "Requests that waited for a retry, by service and whether they got one." };
    CounterFamily admissions_{ "cowsliphead_gateway_admissions_total", "Requests sent, queued and refused at admission, by reason and service." };
    DurationHistogram queued_{ "cowsliphead_gateway_queue_seconds", "How long requests waited for a plain endpoint with room." };
    DurationHistogram firstByte_{ "cowsliphead_gateway_first_byte_seconds", "From a request's arrival to the first byte of its answer." };

    /// Returns all metrics in the Prometheus text format.
    std::string toText() const
    {
        return requests_.toText() + attempts_.toText() + retries_.toText() + crashes_.toText() + endpointFailures_.toText() + retryWaits_.toText()
            + admissions_.toText() + queued_.toText() + firstByte_.toText();
    }
};

} // namespace cowsliphead

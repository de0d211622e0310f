#include "duty/servicescaleload.h"

#include <algorithm>

namespace cowsliphead
{

namespace
{

/// Speed assumed for queued tokens, which says little about a slow engine but bounds how long a queue may become.
constexpr double TokensPerSecond = 45000;

} // namespace

ScaleLoad scaleLoadOf(const ServiceName &service, const std::vector<EndpointEntry> &endpoints, const EndpointLoads &loads)
{
    ScaleLoad sum;
    double queuedTokens = 0;
    for (const auto &endpoint : endpoints) {
        if (endpoint.service_ != service) {
            continue;
        }
        const auto key = endpointKeyOf(endpoint.id_);
        const auto load = std::lower_bound(loads.begin(), loads.end(), key, [](const EndpointLoad &left, EndpointKey right) { return left.endpoint_ < right; });
        if (load == loads.end() || load->endpoint_ != key) {
            continue;
        }
        if (endpoint.stage_ == EngineStage::Prefill) {
            sum.prefill_ += load->running_ > 0 || load->promptTokens_ > 0 ? 1.0 : 0.0;
            queuedTokens += static_cast<double>(load->promptTokens_);
        } else {
            sum.decode_ += static_cast<double>(load->running_) / std::max<std::uint32_t>(1, endpoint.slots_);
        }
    }
    // More engines than are busy are needed if the queues would otherwise take longer than a second.
    sum.prefill_ = std::max(sum.prefill_, queuedTokens / TokensPerSecond);
    return sum;
}

} // namespace cowsliphead

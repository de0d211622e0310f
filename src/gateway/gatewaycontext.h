#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>

#include "core/systemclock.h"
#include "fleet/configuration.h"
#include "gateway/configurationage.h"
#include "gateway/drainschedule.h"
#include "gateway/endpointbook.h"
#include "gateway/gatewaymetrics.h"
#include "gateway/gatewaysettings.h"
#include "gateway/retryallowance.h"
#include "task/address.h"
#include "task/eventloop.h"
#include "traces/span.h"
#include "usage/requeststarted.h"

namespace cowsliphead
{

/// What all requests of a gateway share. It belongs to the gateway's task.
struct GatewayContext {
    EventLoop &loop_;
    GatewaySettings settings_;
    Address<RequestStarted> usage_;
    Address<Span> spans_;
    SystemClock clock_{};
    std::shared_ptr<const Configuration> configuration_{};
    ConfigurationAge age_{};
    EndpointBook endpoints_{ loop_ };
    std::map<ServiceName, RetryAllowance> allowances_{};
    std::size_t gatewayCount_ = 0;

    /// Set once the process is to stop.
    std::optional<DrainSchedule> drain_{};
    GatewayMetrics metrics_{};
    std::mt19937_64 random_{ std::random_device()() };

    /// Thread safety: the loop's task only.
    RetryAllowance &allowanceOf(const ServiceName &service)
    {
        const auto [found, isNew] = allowances_.try_emplace(service, settings_.bounds_.retryRatio_, settings_.bounds_.retryReserve_);
        found->second.setGatewayCount(gatewayCount_);
        return found->second;
    }

    /// The share of the decode engines' places that all gateways take, if each takes as many as this one. Thread safety: the loop's task only.
    double decodeOccupancy(const ServiceName &service) const
    {
        return endpoints_.occupancy(service, EngineStage::Decode) * static_cast<double>(std::max<std::size_t>(1, gatewayCount_));
    }
};

} // namespace cowsliphead

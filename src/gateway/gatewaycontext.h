#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>

#include "core/systemclock.h"
#include "decide/crashregister.h"
#include "decide/crashreports.h"
#include "decide/placement/partdemand.h"
#include "fleet/configuration.h"
#include "gateway/configurationage.h"
#include "gateway/crashverifier.h"
#include "gateway/drainschedule.h"
#include "gateway/endpointtable.h"
#include "gateway/gatewaymetrics.h"
#include "gateway/gatewaysettings.h"
#include "gateway/incarnationquery.h"
#include "gateway/quarantinelog.h"
#include "gateway/quarantinereview.h"
#include "gateway/retryallowance.h"
#include "gateway/servicequeue.h"
#include "http1/bufferbudget.h"
#include "task/address.h"
#include "task/eventloop.h"
#include "traces/span.h"
#include "usage/requeststarted.h"

namespace cowsliphead
{

/// State shared by all requests of a gateway. Thread safety: the loop's task only.
struct GatewayContext {
    EventLoop &loop_;
    GatewaySettings settings_;
    Address<RequestStarted> usage_;
    Address<Span> spans_;

    /// Leads to the other gateways.
    Address<CrashReports> crashReports_;
    IncarnationQuery incarnationQuery_{};
    SystemClock clock_{};
    std::shared_ptr<const Configuration> configuration_{};
    ConfigurationAge age_{};

    /// What all connections to callers and endpoints buffer together.
    BufferBudget buffers_{ loop_, settings_.bufferLimit_ };
    EndpointTable endpoints_{ loop_, buffers_ };
    std::map<ServiceName, RetryAllowance> retryBudgets_{};

    /// Only for plain services, with adaptive serving.
    std::map<ServiceName, ServiceQueue> serviceQueues_{};
    std::size_t gatewayCount_ = 0;

    /// How often this gateway gets requests for the shared parts of prompts.
    PartDemand partDemand_{};
    CrashRegister crashes_{};
    CrashVerifier crashVerifier_{ loop_, incarnationQuery_ };

    /// The version of crashes_ that the other gateways are told.
    std::uint64_t publishedCrashes_ = 0;
    QuarantineLog quarantineLog_{};
    QuarantineReview quarantineReview_{ *this };

    /// Set once the process is stopping.
    std::optional<DrainSchedule> drain_{};
    GatewayMetrics metrics_{};
    std::mt19937_64 random_{ std::random_device()() };

    RetryAllowance &retryBudgetOf(const ServiceName &service)
    {
        const auto [found, isNew] = retryBudgets_.try_emplace(service, settings_.bounds_.retryRatio_, settings_.bounds_.retryReserve_);
        found->second.setGatewayCount(gatewayCount_);
        return found->second;
    }

    /// False until there is a configuration.
    bool usesAdaptiveServing() const
    {
        return configuration_ && configuration_->usesAdaptiveServing();
    }

    ServiceQueue &serviceQueueOf(const ServiceName &service)
    {
        return serviceQueues_.try_emplace(service, *this, service).first->second;
    }

    /// Endpoints may have room now that had none.
    void roomChanged()
    {
        for (auto &[service, queue] : serviceQueues_) {
            queue.roomChanged();
        }
    }

    /// Tells the other gateways what has changed in crashes_, if anything has. Call it after each change.
    void crashesChanged()
    {
        if (crashes_.version() != publishedCrashes_) {
            crashReports_.send(crashes_.changesAfter(publishedCrashes_, clock_.now()));
            publishedCrashes_ = crashes_.version();
            quarantineLog_.update(crashes_.quarantined(clock_.now()));
            quarantineReview_.update();
        }
    }

    /// Share of the decode engines' slots that all gateways occupy.
    double decodeOccupancy(const ServiceName &service) const
    {
        return endpoints_.occupancy(service, EngineStage::Decode, gatewayCount_, clock_.now());
    }
};

} // namespace cowsliphead

#pragma once

#include <utility>
#include <variant>

#include "core/systemclock.h"
#include "fleet/gatewaycount.h"
#include "fleet/registry.h"
#include "gateway/gatewaydaemonsettings.h"
#include "gateway/platformadapter.h"

namespace cowsliphead
{

/// Runs the registry on the platform's store, as the behaviour of a task. Thread safety: the loop's task only.
template <PlatformAdapter P>
class RegistryTask
{
public:
    using Message = std::variant<GatewayCount>;

    /// Precondition: the loop outlives the task.
    RegistryTask(EventLoop &loop, const GatewayDaemonSettings &settings, RegistryLinks links)
        : store_(loop, settings.store_)
        , registry_(loop, store_, clock_, settings.endpointLeaveBound_, std::move(links))
    {
        registry_.start();
    }

    void receive(const Message &message)
    {
        registry_.setGatewayCount(std::get<GatewayCount>(message).count_);
    }

private:
    SystemClock clock_;
    typename P::Store store_;
    Registry<typename P::Store, typename P::FleetCodec, SystemClock> registry_;
};

} // namespace cowsliphead

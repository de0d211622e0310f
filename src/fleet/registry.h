#pragma once

#include <memory>
#include <utility>
#include <vector>

#include "fleet/configurationreader.h"
#include "fleet/endpointreader.h"
#include "fleet/registrylinks.h"

namespace cowsliphead
{

/// Follows the configuration and the endpoints' entries in the store and sends a new snapshot to its receivers after each change.
/// Thread safety: the loop's task only.
template <RangedStore S, FleetCodec Codec, Clock C>
class Registry
{
public:
    /// maxUseAfterLeaving: how long an endpoint may still be used after it has announced its leaving. Precondition: loop, store and
    /// clock outlive the registry.
    Registry(EventLoop &loop, S &store, const C &clock, std::chrono::milliseconds maxUseAfterLeaving, RegistryLinks links)
        : links_(std::move(links))
        , configurations_(loop,
                          store,
                          clock,
                          { [this](std::shared_ptr<const Configuration> configuration) { setConfiguration(std::move(configuration)); },
                            [this](ConfigurationConfirmed confirmation) { links_.configurationConfirmations_.send(confirmation); } })
        , endpoints_(loop, store, clock, maxUseAfterLeaving, [this](std::vector<EndpointEntry> endpoints) { setEndpoints(std::move(endpoints)); })
    {
    }

    /// Reads the configuration and all entries, then watches both for changes. Precondition: called once.
    void start()
    {
        configurations_.start();
        endpoints_.start();
    }

    /// Sets how many gateways follow the store.
    void setGatewayCount(std::size_t count)
    {
        endpoints_.setGatewayCount(count);
    }

private:
    void setConfiguration(std::shared_ptr<const Configuration> configuration)
    {
        snapshot_.configuration_ = std::move(configuration);
        publish();
    }

    void setEndpoints(std::vector<EndpointEntry> endpoints)
    {
        snapshot_.endpoints_ = std::make_shared<const std::vector<EndpointEntry>>(std::move(endpoints));
        publish();
    }

    void publish()
    {
        links_.snapshots_.send(snapshot_);
        links_.dutySnapshots_.send(snapshot_);
    }

    RegistryLinks links_;
    FleetSnapshot snapshot_{ nullptr, std::make_shared<const std::vector<EndpointEntry>>() };
    ConfigurationReader<S, Codec, C> configurations_;
    EndpointReader<S, Codec, C> endpoints_;
};

} // namespace cowsliphead

#pragma once

#include <memory>
#include <utility>
#include <vector>

#include "fleet/configurationreader.h"
#include "fleet/endpointreader.h"
#include "fleet/registrylinks.h"

namespace cowsliphead
{

/// Follows the configuration and the endpoints' entries in the store, and hands on what it reads.
template <RangedStore S, FleetCodec Codec, Clock C>
class Registry
{
public:
    /// leaveBound: a leaving endpoint may be used for so long. Precondition: loop, store and clock outlive the registry. Thread safety:
    /// the loop's task only.
    Registry(EventLoop &loop, S &store, const C &clock, std::chrono::milliseconds leaveBound, RegistryLinks links)
        : links_(std::move(links))
        , configurations_(loop,
                          store,
                          clock,
                          { [this](std::shared_ptr<const Configuration> configuration) { take(std::move(configuration)); },
                            [this](ConfigurationConfirmed look) { links_.looks_.send(look); } })
        , endpoints_(loop, store, clock, leaveBound, [this](std::vector<EndpointEntry> endpoints) { take(std::move(endpoints)); })
    {
    }

    /// Reads all and goes on by watching. Precondition: called once. Thread safety: the loop's task only.
    void start()
    {
        configurations_.start();
        endpoints_.start();
    }

    /// So many gateways follow the store. Thread safety: the loop's task only.
    void setGatewayCount(std::size_t count)
    {
        endpoints_.setGatewayCount(count);
    }

private:
    void take(std::shared_ptr<const Configuration> configuration)
    {
        snapshot_.configuration_ = std::move(configuration);
        publish();
    }

    void take(std::vector<EndpointEntry> endpoints)
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

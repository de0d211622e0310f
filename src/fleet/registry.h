#pragma once

#include <optional>
#include <utility>
#include <vector>

#include "fleet/configurationreader.h"
#include "fleet/endpointreader.h"
#include "fleet/registryevents.h"

namespace cowsliphead
{

/// Follows the configuration and the endpoints' entries in the store. Thread safety: the loop's task only.
template <RangedStore S, FleetCodec Codec, Clock C>
class Registry
{
public:
    /// maxUseAfterLeaving: how long an endpoint may still be used after it has announced its leaving. Precondition: loop, store, clock and
    /// directory outlive the registry.
    Registry(EventLoop &loop, S &store, const C &clock, EndpointDirectory &directory, std::chrono::milliseconds maxUseAfterLeaving, RegistryEvents events)
        : events_(std::move(events))
        , configurations_(loop,
                          store,
                          clock,
                          { events_.onConfiguration_, events_.onConfirmed_, [this](bool isAnswered) { answered(isConfigurationAnswered_, isAnswered); } })
        , endpoints_(loop, store, clock, directory, maxUseAfterLeaving, { events_.onEndpoints_, [this](bool isAnswered) {
                                                                             answered(areEndpointsAnswered_, isAnswered);
                                                                         } })
    {
    }

    /// See EndpointReader::setStoreAwaySince(). Precondition: start() was not called yet.
    void setStoreAwaySince(MonotonicTime since)
    {
        endpoints_.setStoreAwaySince(since);
    }

    /// Reads the configuration and all entries, then watches both for changes. Precondition: called once.
    void start()
    {
        configurations_.start();
        endpoints_.start();
    }

private:
    void answered(bool &isReaderAnswered, bool isAnswered)
    {
        isReaderAnswered = isAnswered;
        const bool isReachable = isConfigurationAnswered_ && areEndpointsAnswered_;
        // Until both readers have an answer, only a failure is a result.
        if ((isReachable || !isAnswered) && isReachable_ != isReachable) {
            isReachable_ = isReachable;
            events_.onReachable_(isReachable);
        }
    }

    RegistryEvents events_;
    bool isConfigurationAnswered_ = false;
    bool areEndpointsAnswered_ = false;
    std::optional<bool> isReachable_;
    ConfigurationReader<S, Codec, C> configurations_;
    EndpointReader<S, Codec, C> endpoints_;
};

} // namespace cowsliphead

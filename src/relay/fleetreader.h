#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "core/time.h"
#include "relay/relaycontext.h"

namespace cowsliphead
{

/// The dialogue of a relay with the store: reads configuration, endpoints and quarantine, as one gateway of each failure domain does. Thread
/// safety: all members, on the loop's task only.
template <RangedStore S, FleetCodec Codec, Clock C>
class FleetReader
{
public:
    using Context = RelayContext<S, Codec, C>;
    using OpenStore = std::function<std::unique_ptr<S>()>;

    /// openStore creates a client of the store. Precondition: the context outlives the reader.
    FleetReader(Context &context, OpenStore openStore)
        : context_(context)
        , openStore_(std::move(openStore))
    {
    }

    bool isReading() const
    {
        return reading_.registry_ != nullptr;
    }

    /// Precondition: not reading.
    void start()
    {
        reading_.store_ = openStore_();
        reading_.registry_ = std::make_unique<Registry<S, Codec, C>>(
            context_.loop_, *reading_.store_, context_.clock_, context_.state_.directory(), context_.settings_.endpointLeaveBound_, events());
        if (context_.selection_ && context_.selection_->storeAwaySince()) {
            reading_.registry_->setStoreAwaySince(*context_.selection_->storeAwaySince());
        }
        reading_.registry_->start();
        context_.quarantine_.startReading(openStore_());
    }

    void stop()
    {
        context_.quarantine_.stopReading();
        reading_ = {};
    }

private:
    /// A client of the store and what reads from it; the client is destroyed first, after which no answer follows.
    struct Reading {
        std::unique_ptr<Registry<S, Codec, C>> registry_;
        std::unique_ptr<S> store_;
    };

    RegistryEvents events()
    {
        return {
            .onConfiguration_ = [this](std::shared_ptr<const Configuration> configuration,
                                       const std::string &text) { context_.publishIf(context_.state_.setConfiguration(std::move(configuration), text)); },
            .onConfirmed_ = [this](const ConfigurationConfirmed &confirmation) { context_.confirmed(confirmation); },
            .onEndpoints_ = [this] { context_.publishIf(context_.state_.endpointsRead()); },
            .onReachable_ = [this](bool isReachable) { storeReachable(isReachable); },
        };
    }

    void storeReachable(bool isReachable)
    {
        if (context_.selection_) {
            context_.selection_->setStoreReachable(isReachable, context_.clock_.now());
        }
    }

    Context &context_;
    OpenStore openStore_;
    Reading reading_;
};

} // namespace cowsliphead

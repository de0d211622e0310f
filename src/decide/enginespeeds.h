#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

#include "core/servicename.h"
#include "core/time.h"
#include "relay/endpointobservation.h"

namespace cowsliphead
{

/// How fast each engine reads prompts, from what this gateway and the others have observed. Both weigh recent prompts more. Thread safety: owner
/// task only.
class EngineSpeeds
{
public:
    /// Sets the engines that are listed, with their services. Observations of engines that are no longer listed are dropped.
    void setEngines(std::map<EndpointKey, ServiceName> engines);

    /// An engine has read this many tokens within this time.
    void promptRead(EndpointKey engine, std::uint64_t tokens, std::chrono::nanoseconds time, MonotonicTime now);

    /// Replaces what the other gateways have observed; calls that follow within half a second are ignored.
    void setObservationsOfOthers(const EndpointObservations &observations, MonotonicTime now);

    /// What this gateway has observed.
    EndpointObservations observations(MonotonicTime now) const;

    /// The speed at which the engine reads; for an engine without observations the median of its service, or a common speed if nothing is known of
    /// the service. Always positive.
    double tokensPerMillisecond(EndpointKey engine) const;

private:
    /// What was read, decayed until at_.
    struct Sums {
        double tokens_ = 0;
        std::chrono::duration<double, std::milli> time_{ 0 };
        MonotonicTime at_;

        Sums decayedTo(MonotonicTime now) const;
    };

    void updateSpeed(EndpointKey engine, MonotonicTime now);
    void updateMedians();

    std::map<EndpointKey, ServiceName> engines_;
    std::map<EndpointKey, Sums> own_;
    std::map<EndpointKey, Sums> others_;
    std::optional<MonotonicTime> othersAt_;

    /// Of the engines that were observed.
    std::map<EndpointKey, double> speeds_;
    std::map<ServiceName, double> medians_;
};

} // namespace cowsliphead

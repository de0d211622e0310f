#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <utility>

#include "core/time.h"
#include "relay/endpointfailure.h"

namespace cowsliphead
{

/// Selects the failures of endpoints that are sent to one receiver, which keeps them until they expire: new ones, those that a second gateway
/// has seen, and the others once a second, in case a message was lost. With all of them in each message, the loss of a failure domain with 127
/// endpoints took 7.6 KB a second. Thread safety: owner task only.
class FailureUpdates
{
public:
    /// Returns those of the present failures that are to be sent now.
    EndpointFailures take(const EndpointFailures &present, MonotonicTime now);

private:
    static constexpr std::chrono::seconds RepeatInterval{ 1 };

    /// The number of gateways from which on an endpoint is avoided.
    static constexpr std::uint32_t DecisiveGateways = 2;

    struct Sent {
        std::uint32_t gateways_ = 0;
        MonotonicTime at_;
    };

    std::map<std::pair<IncarnationKey, EndpointFailureKind>, Sent> sent_;
};

} // namespace cowsliphead

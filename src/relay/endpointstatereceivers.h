#pragma once

#include <chrono>
#include <map>

#include "core/instanceid.h"
#include "core/time.h"
#include "relay/endpointstateupdates.h"

namespace cowsliphead
{

/// The gateways that get the state of endpoints from a relay. One that has not asked for a while gets all of it again. Thread safety: owner
/// task only.
class EndpointStateReceivers
{
public:
    /// Returns what selects the updates for a gateway that asks now. Valid until the next call.
    EndpointStateUpdates &updatesFor(const InstanceId &gateway, MonotonicTime now)
    {
        std::erase_if(receivers_, [now](const auto &item) { return now - item.second.askedAt_ > SilenceLimit; });
        auto &receiver = receivers_[gateway];
        receiver.askedAt_ = now;
        return receiver.updates_;
    }

private:
    static constexpr std::chrono::seconds SilenceLimit{ 3 };

    struct Receiver {
        EndpointStateUpdates updates_;
        MonotonicTime askedAt_;
    };

    std::map<InstanceId, Receiver> receivers_;
};

} // namespace cowsliphead

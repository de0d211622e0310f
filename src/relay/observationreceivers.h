#pragma once

#include <chrono>
#include <concepts>
#include <map>

#include "core/instanceid.h"
#include "core/time.h"
#include "relay/observationupdates.h"

namespace cowsliphead
{

/// The gateways that get observations from a relay, and what each of them has got. One that has not asked for a while gets all again.
/// Thread safety: owner task only.
class ObservationReceivers
{
public:
    /// Returns what is to be sent to a gateway now. present: returns the observations that it should have; called only if something is due.
    template <std::invocable Present>
    EndpointObservations updatesFor(const InstanceId &gateway, MonotonicTime now, Present present)
    {
        std::erase_if(receivers_, [now](const auto &item) { return now - item.second.askedAt_ > SilenceLimit; });
        auto &receiver = receivers_[gateway];
        receiver.askedAt_ = now;
        return receiver.updates_.isDue(now) ? receiver.updates_.take(present(), now) : EndpointObservations();
    }

private:
    static constexpr std::chrono::seconds SilenceLimit{ 3 };

    struct Receiver {
        ObservationUpdates updates_;
        MonotonicTime askedAt_;
    };

    std::map<InstanceId, Receiver> receivers_;
};

} // namespace cowsliphead

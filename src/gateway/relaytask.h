#pragma once

#include <cstdint>
#include <memory>
#include <utility>

#include "core/result.h"
#include "core/systemclock.h"
#include "gateway/gatewaydaemonsettings.h"
#include "gateway/platformadapter.h"
#include "relay/relaybehaviour.h"

namespace cowsliphead
{

/// Follows the state of the fleet on the platform's store and beside other gateways, as the behaviour of a task. Thread safety: the loop's
/// task only.
template <PlatformAdapter P>
class RelayTask
{
public:
    using Behaviour = RelayBehaviour<typename P::Store, typename P::FleetCodec, SystemClock>;
    using Message = typename Behaviour::Message;

    /// incarnation: unique identifier of this process. Precondition: the loop outlives the task.
    RelayTask(EventLoop &loop, const GatewayDaemonSettings &settings, const InstanceId &incarnation, RelayLinks links)
        : behaviour_(
            loop,
            clock_,
            settings.relay_,
            incarnation,
            [&loop, address = settings.store_] { return std::make_unique<typename P::Store>(loop, address); },
            std::move(links))
    {
    }

    /// Starts listening for other gateways. Returns the port. Precondition: called once. Errors: ListenFailed.
    Result<std::uint16_t> listen()
    {
        return behaviour_.listen();
    }

    void receive(Message message)
    {
        behaviour_.receive(std::move(message));
    }

private:
    SystemClock clock_;
    Behaviour behaviour_;
};

} // namespace cowsliphead

#pragma once

#include <utility>

#include "core/systemclock.h"
#include "duty/dutybehaviour.h"
#include "gateway/gatewaydaemonsettings.h"
#include "gateway/platformadapter.h"

namespace cowsliphead
{

/// The duties on the platform's store and API. A task's behaviour.
template <PlatformAdapter P>
class DutyTask
{
public:
    using Keeper = DutyBehaviour<typename P::Store, typename P::DutyApi, SystemClock>;
    using Message = typename Keeper::Message;

    /// incarnation names this process for good; counts hears how many gateways there are. Precondition: the loop outlives the task.
    /// Thread safety: the loop's task only.
    DutyTask(EventLoop &loop, const GatewayDaemonSettings &settings, const InstanceId &incarnation, Address<GatewayCount> counts)
        : store_(loop, settings.store_)
        , platform_(loop, settings.platform_, incarnation.value())
        , keeper_(loop, store_, platform_, clock_, settings.duty_, incarnation, std::move(counts))
    {
        keeper_.start();
    }

    /// Thread safety: the loop's task only.
    void receive(Message message)
    {
        keeper_.receive(std::move(message));
    }

private:
    SystemClock clock_;
    typename P::Store store_;
    typename P::DutyApi platform_;
    Keeper keeper_;
};

} // namespace cowsliphead

#pragma once

#include <utility>

#include "core/systemclock.h"
#include "duty/dutybehaviour.h"
#include "gateway/gatewaydaemonsettings.h"
#include "gateway/platformadapter.h"

namespace cowsliphead
{

/// Runs the duties on the platform's store and API, as the behaviour of a task. Thread safety: the loop's task only.
template <PlatformAdapter P>
class DutyTask
{
public:
    using Behaviour = DutyBehaviour<typename P::Store, typename P::DutyApi, SystemClock>;
    using Message = typename Behaviour::Message;

    /// incarnation: unique identifier of this process; links lead to the relay. Precondition: the loop outlives the task.
    DutyTask(EventLoop &loop, const GatewayDaemonSettings &settings, const InstanceId &incarnation, UsageLinks links)
        : store_(loop, settings.store_)
        , platform_(loop, settings.platform_, incarnation.value())
        , behaviour_(loop, store_, platform_, clock_, settings.duty_, incarnation, std::move(links))
    {
        behaviour_.start();
    }

    void receive(Message message)
    {
        behaviour_.receive(std::move(message));
    }

private:
    SystemClock clock_;
    typename P::Store store_;
    typename P::DutyApi platform_;
    Behaviour behaviour_;
};

} // namespace cowsliphead

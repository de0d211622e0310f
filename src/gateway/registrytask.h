#pragma once

#include <utility>
#include <variant>

#include "core/systemclock.h"
#include "fleet/registry.h"
#include "gateway/platformadapter.h"

namespace cowsliphead
{

/// The registry on the platform's store. A task's behaviour.
template <PlatformAdapter P>
class RegistryTask
{
public:
    /// It takes no message; the store's answers drive it.
    using Message = std::monostate;

    /// Precondition: the loop outlives the task. Thread safety: the loop's task only.
    RegistryTask(EventLoop &loop, const SocketAddress &store, RegistryLinks links)
        : store_(loop, store)
        , registry_(loop, store_, clock_, std::move(links))
    {
        registry_.start();
    }

    /// Nothing is expected. Thread safety: the loop's task only.
    void receive(Message /*message*/)
    {
    }

private:
    SystemClock clock_;
    typename P::Store store_;
    Registry<typename P::Store, typename P::FleetCodec, SystemClock> registry_;
};

} // namespace cowsliphead

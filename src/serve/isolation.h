#pragma once

#include <cstdint>
#include <functional>
#include <list>

#include "core/endpointid.h"

namespace cowsliphead
{

class EventLoop;

/// Lets one suspect request after the other have an endpoint for itself, as far as this daemon's work goes.
class Isolation
{
public:
    /// Precondition: the loop outlives it. Thread safety: the loop's task only.
    explicit Isolation(EventLoop &loop);

    /// Queues a suspect; onTurn is called in a later turn of the loop. Thread safety: the loop's task only.
    void enter(std::uint64_t suspect, std::function<void()> onTurn);

    /// Keeps an endpoint for the suspect whose turn it is; onFree is called in a later turn once the endpoint has no other request.
    /// Precondition: it is the suspect's turn. Thread safety: the loop's task only.
    void reserve(const EndpointId &endpoint, bool isFree, std::function<void()> onFree);

    /// The endpoint has no request left. Thread safety: the loop's task only.
    void endpointIdle(const EndpointId &endpoint);

    /// True if the endpoint is kept for a suspect. Thread safety: the loop's task only.
    bool isReserved(const EndpointId &endpoint) const;

    /// The suspect's trial is over, or it waits no more. No call back follows. Thread safety: the loop's task only.
    void leave(std::uint64_t suspect);

private:
    struct Waiting {
        std::uint64_t suspect_;
        std::function<void()> onTurn_;
    };

    void callFirst();

    EventLoop &loop_;

    /// The first one has its turn.
    std::list<Waiting> queue_;
    EndpointId reserved_;
};

} // namespace cowsliphead

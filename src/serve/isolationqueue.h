#pragma once

#include <cstdint>
#include <functional>
#include <list>

#include "core/endpointid.h"

namespace cowsliphead
{

class EventLoop;

/// Runs suspect requests one at a time, each on an endpoint without other requests of this daemon.
/// Callbacks run in a later iteration of the loop. Thread safety: call only from the event loop's task.
class IsolationQueue
{
public:
    /// Precondition: the loop outlives the queue.
    explicit IsolationQueue(EventLoop &loop);

    /// Queues a suspect request; onTurn is called once it is at the front.
    void enqueue(std::uint64_t suspect, std::function<void()> onTurn);

    /// Reserves an endpoint for the front request; onFree is called once the endpoint is free of other requests.
    /// Precondition: onTurn was called for the front request.
    void reserve(const EndpointId &endpoint, bool isFree, std::function<void()> onFree);

    /// The endpoint has no requests left.
    void onEndpointIdle(const EndpointId &endpoint);

    /// True if the endpoint is reserved for a suspect request.
    bool isReserved(const EndpointId &endpoint) const;

    /// Removes a waiting or front request and frees its endpoint. No callback follows.
    void remove(std::uint64_t suspect);

private:
    struct Waiting {
        std::uint64_t suspect_;
        std::function<void()> callback_;
    };

    void notifyFront();

    EventLoop &loop_;

    /// The first one has its turn.
    std::list<Waiting> queue_;
    EndpointId reserved_;
};

} // namespace cowsliphead

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

    /// Queues a suspect request, identified by its sequence number; onTurn is called once the request is at the front.
    void enqueue(std::uint64_t sequence, std::function<void()> onTurn);

    /// Reserves an endpoint for the front request; onEndpointFree is called once the endpoint has no other requests of this daemon. isFree tells
    /// whether this is already so.
    /// Precondition: onTurn was called for the front request.
    void reserveEndpoint(const EndpointId &endpoint, bool isFree, std::function<void()> onEndpointFree);

    /// Reports that the endpoint has no requests of this daemon left.
    void onEndpointIdle(const EndpointId &endpoint);

    /// True if the endpoint is reserved for a suspect request.
    bool isReserved(const EndpointId &endpoint) const;

    /// Removes a request, waiting or at the front, and releases the endpoint reserved for it. Its callback is not called any more.
    void remove(std::uint64_t sequence);

private:
    struct QueuedRequest {
        std::uint64_t sequence_;
        std::function<void()> callback_;
    };

    void notifyFront();

    EventLoop &loop_;

    /// In order of arrival; only the request at the front may run.
    std::list<QueuedRequest> queue_;
    /// The endpoint reserved for the request at the front; empty if there is none.
    EndpointId reservedEndpoint_;
};

} // namespace cowsliphead

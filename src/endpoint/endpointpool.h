#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/endpointid.h"
#include "core/systemclock.h"
#include "decide/endpointload.h"
#include "decide/loadestimate.h"
#include "http/connectionchoice.h"
#include "http/httpcallevents.h"

namespace cowsliphead
{

class EventLoop;
class HttpCall;
class HttpClient;
struct EndpointRecord;
struct HttpRequest;

/// The connections of one task to all endpoints, with the number of requests in flight and the load of each endpoint.
/// Thread safety: call only from the event loop's task.
class EndpointPool
{
public:
    /// Precondition: the loop outlives the pool.
    explicit EndpointPool(EventLoop &loop);
    ~EndpointPool();
    EndpointPool(const EndpointPool &) = delete;
    EndpointPool &operator=(const EndpointPool &) = delete;

    /// Sends a request. Each call() must be followed by exactly one release().
    std::shared_ptr<HttpCall> call(const EndpointRecord &endpoint, const HttpRequest &request, ConnectionChoice choice, HttpCallEvents events);

    /// Reports that a call has ended or was cancelled.
    void release(const EndpointId &endpoint);

    /// Closes the idle connections to the endpoint. Used after a timeout, when they can no longer be trusted.
    void closeIdleConnections(const EndpointId &endpoint);

    /// Records the number of requests that the endpoint reported.
    void recordReportedLoad(const EndpointId &endpoint, std::uint32_t requests);

    /// Sets a callback that is called each time an endpoint has no requests of this task left.
    void onIdle(std::function<void(const EndpointId &)> callback);

    EndpointLoad load(const EndpointId &endpoint) const;

private:
    struct Entry {
        std::string host_;
        std::uint16_t port_ = 0;
        std::unique_ptr<HttpClient> client_;
        LoadEstimate load_;
    };

    HttpClient &clientFor(const EndpointRecord &endpoint);

    EventLoop &loop_;
    SystemClock clock_;
    std::function<void(const EndpointId &)> onIdle_;
    std::map<EndpointId, Entry> entries_;
};

} // namespace cowsliphead

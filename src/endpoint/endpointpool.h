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

/// The connections of one task to all endpoints, with the work that is under way at each.
class EndpointPool
{
public:
    /// Precondition: the loop outlives the pool. Thread safety: the loop's task only.
    explicit EndpointPool(EventLoop &loop);
    ~EndpointPool();
    EndpointPool(const EndpointPool &) = delete;
    EndpointPool &operator=(const EndpointPool &) = delete;

    /// Sends a request. Each call must be paired with one release(). Thread safety: the loop's task only.
    std::shared_ptr<HttpCall> call(const EndpointRecord &endpoint, const HttpRequest &request, ConnectionChoice choice, HttpCallEvents events);

    /// The call has ended or was cancelled. Thread safety: the loop's task only.
    void release(const EndpointId &endpoint);

    /// Idle connections are in doubt and not used again. Thread safety: the loop's task only.
    void closeIdleConnections(const EndpointId &endpoint);

    /// The endpoint said how many requests it has. Thread safety: the loop's task only.
    void recordReportedLoad(const EndpointId &endpoint, std::uint32_t requests);

    /// Calls back each time that an endpoint is left without a request of this task. Thread safety: the loop's task only.
    void onIdle(std::function<void(const EndpointId &)> callback);

    /// Thread safety: the loop's task only.
    EndpointLoad load(const EndpointId &endpoint) const;

private:
    struct Slot {
        std::string host_;
        std::uint16_t port_ = 0;
        std::unique_ptr<HttpClient> client_;
        LoadEstimate load_;
    };

    HttpClient &clientFor(const EndpointRecord &endpoint);

    EventLoop &loop_;
    SystemClock clock_;
    std::function<void(const EndpointId &)> idle_;
    std::map<EndpointId, Slot> slots_;
};

} // namespace cowsliphead

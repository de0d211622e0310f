#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "core/endpointid.h"
#include "core/requestdigest.h"
#include "core/time.h"
#include "decide/crashsuspects.h"
#include "decide/quarantinestatus.h"
#include "task/timer.h"

namespace cowsliphead
{

struct HttpRequest;
struct ServingContext;

/// Tracks endpoint crashes during one request. Reserves an endpoint for the request if the request is suspected of causing them.
/// Thread safety: call only from the serving task.
class RequestIsolation
{
public:
    /// Precondition: context and request outlive the object.
    RequestIsolation(ServingContext &context, const HttpRequest &request, std::uint64_t sequence);
    ~RequestIsolation();
    RequestIsolation(const RequestIsolation &) = delete;
    RequestIsolation &operator=(const RequestIsolation &) = delete;

    QuarantineStatus quarantineStatus();

    /// Waits in the queue of this daemon's suspect requests; either onTurn or onDeadline is called in a later iteration of the loop.
    void waitForTurn(MonotonicTime deadline, std::function<void()> onTurn, std::function<void()> onDeadline);

    /// Waits until the endpoint has no other request; the deadline still applies. Precondition: onTurn was called.
    void reserveEndpoint(const EndpointId &endpoint, std::function<void()> onEndpointReserved);

    /// Leaves the queue and frees the reserved endpoint, if any.
    void end();

    /// The request is sent to an endpoint.
    void attemptStarted();

    /// Records that the endpoint crashed while the request was in flight. Precondition: called before end().
    void recordCrash(const EndpointId &endpoint);

    /// Records that the request was answered completely, which clears the suspicion.
    void recordAnswered();

private:
    const RequestDigest &digest();
    const CrashSuspects &suspects();

    ServingContext &context_;
    const HttpRequest &request_;
    std::uint64_t sequence_;
    std::optional<RequestDigest> digest_;
    std::optional<CrashSuspects> suspects_;
    MonotonicTime attemptStartedAt_;
    bool isIsolated_ = false;
    std::function<void()> onDeadline_;
    Timer deadlineTimer_;
};

} // namespace cowsliphead

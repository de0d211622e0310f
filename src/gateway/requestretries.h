#pragma once

#include <chrono>
#include <functional>

#include "core/servicename.h"
#include "gateway/retrywait.h"

namespace cowsliphead
{

class RequestAttempts;
struct GatewayContext;

/// What one request's retries take from the service's retry budget, and how long it waits for one. Thread safety: the context's task only.
class RequestRetries
{
public:
    /// Precondition: all arguments outlive the object; service is set before any other member is called.
    RequestRetries(GatewayContext &context, const RequestAttempts &attempts, const ServiceName &service);

    /// True if the next call is a retry, none is left, and another gateway may lend one.
    bool mustWait() const;

    /// Waits for a retry for a limited time, and not past half of timeLeft. Calls onEnd from a later iteration of the loop: with true once there is
    /// one. Replaces an earlier wait or pause.
    void wait(std::chrono::milliseconds timeLeft, std::function<void(bool)> onEnd);

    /// Pauses after several failed connection attempts: endpoints that cannot be reached are found out within a few hundred milliseconds, and
    /// attempts meanwhile only add load. Calls onEnd from a later iteration of the loop. Replaces an earlier wait or pause.
    void pause(std::function<void()> onEnd);

    /// Takes the retry that the next call needs, if it needs one. Returns false if none is left.
    bool charge();

    /// The call has ended. A retry counts only if an endpoint has received the request.
    void settle(bool isWritten);

    /// Ends a wait or pause without calling its function.
    void cancel();

private:
    GatewayContext &context_;
    const RequestAttempts &attempts_;
    const ServiceName &service_;
    RetryWait wait_;
    bool isCharged_ = false;
};

} // namespace cowsliphead

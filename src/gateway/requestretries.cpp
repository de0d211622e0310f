#include "gateway/requestretries.h"

#include <algorithm>
#include <utility>

#include "gateway/gatewaycontext.h"
#include "gateway/requestattempts.h"

namespace cowsliphead
{

RequestRetries::RequestRetries(GatewayContext &context, const RequestAttempts &attempts, const ServiceName &service)
    : context_(context)
    , attempts_(attempts)
    , service_(service)
    , wait_(context.loop_)
{
}

bool RequestRetries::mustWait() const
{
    return context_.usesAdaptiveServing() && attempts_.nextIsRetry() && !context_.retryBudgetOf(service_).hasRetryLeft();
}

void RequestRetries::wait(std::chrono::milliseconds timeLeft, std::function<void(bool)> onEnd)
{
    const auto limit = std::min(RetryWait::MaxWait, timeLeft / 2);
    wait_.start(
        limit,
        [this] { return context_.retryBudgetOf(service_).hasRetryLeft(); },
        [this, onEnd = std::move(onEnd)](bool isReady) {
            context_.metrics_.retryWaits_.increment({ { "service", service_.value() }, { "got", isReady ? "yes" : "no" } });
            onEnd(isReady);
        });
}

void RequestRetries::pause(std::function<void()> onEnd)
{
    wait_.start(
        RetryWait::ConnectPause, [] { return false; }, [onEnd = std::move(onEnd)](bool /*isReady*/) { onEnd(); });
}

bool RequestRetries::charge()
{
    if (!attempts_.nextIsRetry() || isCharged_) {
        return true;
    }
    if (!context_.retryBudgetOf(service_).spend()) {
        return false;
    }
    context_.metrics_.retries_.increment({ { "service", service_.value() } });
    isCharged_ = context_.usesAdaptiveServing();
    return true;
}

void RequestRetries::settle(bool isWritten)
{
    if (std::exchange(isCharged_, false) && !isWritten) {
        context_.retryBudgetOf(service_).refund();
    }
}

void RequestRetries::cancel()
{
    wait_.cancel();
}

} // namespace cowsliphead

#include "gateway/retrywait.h"

#include <utility>

namespace cowsliphead
{

RetryWait::RetryWait(EventLoop &loop)
    : timer_(loop, [this] { check(); })
{
}

void RetryWait::start(std::chrono::milliseconds limit, std::function<bool()> isReady, std::function<void(bool)> onEnd)
{
    endsAt_ = clock_.now() + limit;
    isReady_ = std::move(isReady);
    onEnd_ = std::move(onEnd);
    timer_.startRepeating(CheckInterval);
}

void RetryWait::cancel()
{
    timer_.cancel();
}

void RetryWait::check()
{
    const bool isReady = isReady_();
    if (!isReady && clock_.now() < endsAt_) {
        return;
    }
    timer_.cancel();
    // The receiver may start another wait or destroy this one.
    const auto onEnd = onEnd_;
    onEnd(isReady);
}

} // namespace cowsliphead

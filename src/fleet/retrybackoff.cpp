#include "fleet/retrybackoff.h"

#include <algorithm>

namespace cowsliphead
{

std::chrono::milliseconds RetryBackoff::next()
{
    std::uniform_int_distribution<std::chrono::milliseconds::rep> jitter(0, pause_.count() / 3);
    const auto pause = pause_ - pause_ / 6 + std::chrono::milliseconds(jitter(random_));
    pause_ = std::min(pause_ * 2, MaxPause);
    return pause;
}

void RetryBackoff::reset()
{
    pause_ = MinPause;
}

} // namespace cowsliphead

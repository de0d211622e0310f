#pragma once

#include <chrono>
#include <random>

namespace cowsliphead
{

/// Pauses between failed calls to the store: they double up to a limit and are randomized, so that readers that lost the store at the same
/// time do not return at the same time. Thread safety: owner task only.
class RetryBackoff
{
public:
    /// Returns the pause before the next call.
    std::chrono::milliseconds next();

    /// A call was answered.
    void reset();

private:
    static constexpr std::chrono::milliseconds MinPause{ 150 };

    /// After its return the store is read again within this time, or once a call under way has timed out.
    static constexpr std::chrono::milliseconds MaxPause{ 250 };

    std::chrono::milliseconds pause_ = MinPause;
    std::minstd_rand random_{ std::random_device()() };
};

} // namespace cowsliphead

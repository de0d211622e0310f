#pragma once

#include <chrono>
#include <cstddef>

#include "core/time.h"

namespace cowsliphead
{

/// The number of gateways of the fleet, as a relay counts them. The largest number of the last seconds counts, since a gateway that is cut
/// off still serves, and shares of the fleet's allowances must not grow by mistake. A new relay does not know the number yet. Thread safety:
/// owner task only.
class FleetSize
{
public:
    /// The gateway became a relay and starts to count.
    void restart(MonotonicTime now);

    /// So many gateways are known at present.
    void record(std::size_t gateways, MonotonicTime now);

    /// Zero while the number is not known.
    std::size_t value(MonotonicTime now) const;

private:
    /// All gateways of a failure domain, and the relays of the others, are heard of within this time.
    static constexpr std::chrono::seconds SettleTime{ 2 };

    /// A number counts for one to two of these periods.
    static constexpr std::chrono::seconds Period{ 8 };

    MonotonicTime startedAt_;
    MonotonicTime periodStartedAt_;
    std::size_t largest_ = 0;
    std::size_t largestBefore_ = 0;
};

} // namespace cowsliphead

#include "decide/placement/partdemand.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace cowsliphead
{

namespace
{

/// Short enough to follow a burst, long enough that a gateway with a request each few seconds sees the rate.
constexpr std::chrono::duration<double> HalfLife{ 5 };

/// A home spends this share of its time on one set of shared parts, since it is the home of others too and the first homes get more than the
/// last ones while gateways count different numbers of requests. With a fifth, the busiest engine of a replay with several hot parts read 2.65
/// times the mean, with this share 2.41 times.
constexpr double ShareOfHome = 1.0 / 10;

/// A home is dropped only once the demand is this share of what added it.
constexpr double DropFactor = 0.5;

/// Enough for parts that a third of 113 requests a second have in common. With 3 homes the busiest engine reads 3.6 times the mean then.
constexpr std::size_t MaxHomes = 16;

/// Demands are forgotten at this number of them if their count is below RareCount, which it is 20 s after a single request.
constexpr std::size_t MaxDemands = 4096;
constexpr double RareCount = 1.0 / 16;

} // namespace

double PartDemand::countAt(const Demand &demand, MonotonicTime now)
{
    return demand.count_ * std::exp2(-std::chrono::duration<double>(now - demand.countedAt_) / HalfLife);
}

std::size_t PartDemand::requestArrived(std::uint64_t sharedParts, std::size_t gateways, std::chrono::microseconds readingTime, MonotonicTime now)
{
    forgetRare(now);
    auto &demand = demands_[sharedParts];
    // Without the new request: times the number of gateways, a single one would make any parts seem hot.
    const double count = countAt(demand, now);
    const double perSecond = count * std::numbers::ln2 / HalfLife.count() * static_cast<double>(std::max<std::size_t>(1, gateways));
    const double homesNeeded = perSecond * std::chrono::duration<double>(readingTime).count() / ShareOfHome;
    const auto fewest = static_cast<std::size_t>(std::ceil(homesNeeded));
    const auto most = static_cast<std::size_t>(1 + std::floor(homesNeeded / DropFactor));
    demand.homes_ = std::min(std::clamp(demand.homes_, fewest, most), MaxHomes);
    demand.count_ = count + 1;
    demand.countedAt_ = now;
    return demand.homes_;
}

std::size_t PartDemand::homesOf(std::uint64_t sharedParts) const
{
    const auto found = demands_.find(sharedParts);
    return found == demands_.end() ? 1 : found->second.homes_;
}

void PartDemand::forgetRare(MonotonicTime now)
{
    if (demands_.size() >= MaxDemands) {
        std::erase_if(demands_, [now](const auto &item) { return countAt(item.second, now) < RareCount; });
    }
}

} // namespace cowsliphead

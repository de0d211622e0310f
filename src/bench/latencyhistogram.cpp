#include "bench/latencyhistogram.h"

#include <algorithm>

namespace cowsliphead
{

namespace
{

using Microseconds = std::chrono::duration<double, std::micro>;

constexpr unsigned BinCount = 1800;
constexpr Microseconds Shortest{ 1 };
constexpr Microseconds Longest{ std::chrono::minutes(1) };

/// Factor that keeps the longest duration inside the last bin, which excludes its upper edge.
constexpr double InsideLastBin = 0.999999;

} // namespace

LatencyHistogram::LatencyHistogram()
    : histogram_(boost::histogram::make_histogram(Axis(BinCount, Shortest.count(), Longest.count())))
{
}

void LatencyHistogram::add(std::chrono::nanoseconds duration)
{
    const double microseconds = Microseconds(duration).count();
    histogram_(std::clamp(microseconds, Shortest.count(), Longest.count() * InsideLastBin));
    ++count_;
}

std::chrono::nanoseconds LatencyHistogram::quantile(double fraction) const
{
    const double targetCount = fraction * static_cast<double>(count_);
    double cumulativeCount = 0;
    for (const auto &bin : boost::histogram::indexed(histogram_)) {
        cumulativeCount += *bin;
        if (cumulativeCount > 0 && cumulativeCount >= targetCount) {
            return std::chrono::duration_cast<std::chrono::nanoseconds>(Microseconds(bin.bin().upper()));
        }
    }
    return std::chrono::nanoseconds(0);
}

std::uint64_t LatencyHistogram::count() const
{
    return count_;
}

} // namespace cowsliphead

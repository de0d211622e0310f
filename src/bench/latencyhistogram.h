#pragma once

#include <chrono>
#include <cstdint>

#include <boost/histogram.hpp>

namespace cowsliphead
{

/// A histogram of durations from one microsecond to one minute, with logarithmic bins about 1% wide. Thread safety: owner only.
class LatencyHistogram
{
public:
    LatencyHistogram();

    /// Durations out of range are counted in the first or the last bin.
    void add(std::chrono::nanoseconds duration);

    /// The duration that the given fraction of all durations does not exceed, accurate to the width of a bin; zero if there are none.
    /// Precondition: the fraction is from 0 to 1.
    std::chrono::nanoseconds quantile(double fraction) const;

    std::uint64_t count() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

    Histogram histogram_;
    std::uint64_t count_ = 0;
};

} // namespace cowsliphead

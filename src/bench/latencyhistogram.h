#pragma once

#include <chrono>
#include <cstdint>

#include <boost/histogram.hpp>

namespace cowsliphead
{

/// A distribution of durations from a microsecond to a minute, in bins that grow by about one in a hundred.
class LatencyHistogram
{
public:
    LatencyHistogram();

    /// Durations out of range count at the range's end. Thread safety: owner only.
    void add(std::chrono::nanoseconds duration);

    /// The duration that the given share of all durations does not exceed, to the width of a bin; zero if there is none.
    /// Precondition: the share is from 0 to 1. Thread safety: owner only.
    std::chrono::nanoseconds quantile(double share) const;

    /// Thread safety: owner only.
    std::uint64_t count() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

    Histogram histogram_;
    std::uint64_t count_ = 0;
};

} // namespace cowsliphead

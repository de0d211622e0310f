#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include <utility>

#include <boost/histogram.hpp>

namespace cowsliphead
{

/// A histogram of durations with logarithmic buckets from 0.1 milliseconds to 100 seconds. Thread safety: owner task only.
class DurationHistogram
{
public:
    /// Precondition: the name is a valid Prometheus metric name that ends in _seconds.
    DurationHistogram(std::string name, std::string help);

    void record(std::chrono::nanoseconds duration);

    std::uint64_t count() const;

    /// An upper bound of the duration below which the given fraction of the recorded durations lies. Precondition: the fraction is
    /// from 0 to 1.
    std::chrono::nanoseconds quantile(double fraction) const;

    /// The histogram in the Prometheus text format.
    std::string toText() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

    std::string name_;
    std::string help_;
    Histogram histogram_;
    std::chrono::nanoseconds sum_{ 0 };
    std::uint64_t count_ = 0;
};

} // namespace cowsliphead

#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include <utility>

#include <boost/histogram.hpp>

namespace cowsliphead
{

/// The distribution of a time, from a tenth of a millisecond to a hundred seconds.
class DurationHistogram
{
public:
    /// Precondition: the name is a valid Prometheus name that ends in _seconds. Thread safety: owner task only.
    DurationHistogram(std::string name, std::string help);

    /// Thread safety: owner task only.
    void record(std::chrono::nanoseconds duration);

    /// Thread safety: owner task only.
    std::uint64_t count() const;

    /// An upper bound of the time that the given share of the recorded ones stays below. Precondition: share is from 0 to 1.
    /// Thread safety: owner task only.
    std::chrono::nanoseconds quantile(double share) const;

    /// The histogram in the Prometheus text format. Thread safety: owner task only.
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

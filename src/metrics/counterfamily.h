#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "metrics/metriclabels.h"

namespace cowsliphead
{

/// A family of counters that share a name, one counter for each set of labels. Thread safety: owner task only.
class CounterFamily
{
public:
    /// Precondition: the name is a valid Prometheus metric name that ends in _total.
    CounterFamily(std::string name, std::string help);

    void increment(const MetricLabels &labels, std::uint64_t by = 1);

    /// The value of the counter with these labels; 0 if it was never incremented.
    std::uint64_t value(const MetricLabels &labels) const;

    /// The family in the Prometheus text format.
    std::string toText() const;

private:
    std::string name_;
    std::string help_;
    std::map<MetricLabels, std::uint64_t> values_;
};

} // namespace cowsliphead

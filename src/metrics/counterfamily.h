#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "metrics/metriclabels.h"

namespace cowsliphead
{

/// Counters of one name, one for each set of labels.
class CounterFamily
{
public:
    /// Precondition: the name is a valid Prometheus name that ends in _total. Thread safety: owner task only.
    CounterFamily(std::string name, std::string help);

    /// Thread safety: owner task only.
    void increment(const MetricLabels &labels, std::uint64_t by = 1);

    /// 0 if nothing was counted. Thread safety: owner task only.
    std::uint64_t value(const MetricLabels &labels) const;

    /// The family in the Prometheus text format. Thread safety: owner task only.
    std::string toText() const;

private:
    std::string name_;
    std::string help_;
    std::map<MetricLabels, std::uint64_t> values_;
};

} // namespace cowsliphead

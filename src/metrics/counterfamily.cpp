#include "metrics/counterfamily.h"

#include <utility>

#include "metrics/metrictext.h"

namespace cowsliphead
{

CounterFamily::CounterFamily(std::string name, std::string help)
    : name_(std::move(name))
    , help_(std::move(help))
{
}

void CounterFamily::increment(const MetricLabels &labels, std::uint64_t by)
{
    values_[labels] += by;
}

std::uint64_t CounterFamily::value(const MetricLabels &labels) const
{
    const auto found = values_.find(labels);
    return found == values_.end() ? 0 : found->second;
}

std::string CounterFamily::toText() const
{
    auto text = metricHeader(name_, help_, "counter");
    for (const auto &[labels, value] : values_) {
        text += name_ + labelText(labels) + " " + std::to_string(value) + "\n";
    }
    return text;
}

} // namespace cowsliphead

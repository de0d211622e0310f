#include "bench/loadresult.h"

namespace cowsliphead
{

namespace
{

using Microseconds = std::chrono::duration<double, std::micro>;
using Milliseconds = std::chrono::duration<double, std::milli>;
using Values = std::map<std::string, double>;

void addQuantiles(Values &values, const std::string &name, const LatencyHistogram &histogram)
{
    if (histogram.count() == 0) {
        return;
    }
    values[name + "MedianUs"] = Microseconds(histogram.quantile(0.5)).count();
    values[name + "95Us"] = Microseconds(histogram.quantile(0.95)).count();
    values[name + "99Us"] = Microseconds(histogram.quantile(0.99)).count();
}

void addTarget(Values &values, const std::string &prefix, const TargetResult &target)
{
    values[prefix + "requests"] = static_cast<double>(target.requests_);
    values[prefix + "failed"] = static_cast<double>(target.failed_);
    values[prefix + "tokens"] = static_cast<double>(target.tokens_);
    addQuantiles(values, prefix + "firstToken", target.firstToken_);
    addQuantiles(values, prefix + "betweenTokens", target.betweenTokens_);
    addQuantiles(values, prefix + "whole", target.whole_);
}

} // namespace

std::map<std::string, double> LoadResult::values() const
{
    Values values = usage_.values();
    values["wallMs"] = Milliseconds(wallTime_).count();
    for (std::size_t index = 0; index < targets_.size(); ++index) {
        addTarget(values, index == 0 ? "" : "direct_", targets_[index]);
    }
    return values;
}

} // namespace cowsliphead

#pragma once

#include <map>
#include <string>

namespace cowsliphead
{

/// The label names and values that identify one metric of a family.
using MetricLabels = std::map<std::string, std::string>;

} // namespace cowsliphead

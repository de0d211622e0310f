#pragma once

#include <map>
#include <string>

namespace cowsliphead
{

/// Names and values that tell the members of a family of metrics apart.
using MetricLabels = std::map<std::string, std::string>;

} // namespace cowsliphead

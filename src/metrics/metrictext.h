#pragma once

#include <string>

#include "metrics/metriclabels.h"

namespace cowsliphead
{

/// The HELP and TYPE lines of a metric family. Thread safety: any thread.
std::string metricHeader(const std::string &name, const std::string &help, const std::string &type);

/// The labels in braces, with their values escaped; empty if there are none. Thread safety: any thread.
std::string labelText(const MetricLabels &labels);

} // namespace cowsliphead

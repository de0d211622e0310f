#pragma once

#include <string>

#include "core/instanceid.h"
#include "decide/usagewindow.h"

namespace cowsliphead::usagecountkeys
{

/// Under it lie the counts that each gateway wrote, by window and gateway.
constexpr const char *CountsPrefix = "usage/counts/";

/// Thread safety: any thread.
inline std::string countsOf(UsageWindow window)
{
    return CountsPrefix + std::to_string(window) + "/";
}

/// Thread safety: any thread.
inline std::string countsOf(UsageWindow window, const InstanceId &instance)
{
    return countsOf(window) + instance.value();
}

/// The counts that are reported for the window, written once. Thread safety: any thread.
inline std::string sealedCounts(UsageWindow window)
{
    return "usage/sealed/" + std::to_string(window);
}

} // namespace cowsliphead::usagecountkeys

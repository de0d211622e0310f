#pragma once

#include <string>

#include "core/instanceid.h"
#include "decide/usagewindow.h"
#include "store/storeera.h"

namespace cowsliphead::usagecountkeys
{

/// Prefix of the keys for the counts that each gateway writes, by window and gateway.
constexpr const char *CountsPrefix = "usage/counts/";

/// Prefix of the window's counts. Thread safety: any thread.
inline std::string countsPrefix(UsageWindow window)
{
    return CountsPrefix + std::to_string(window) + "/";
}

/// Key of one gateway's counts for the window. Thread safety: any thread.
inline std::string countsKey(UsageWindow window, const InstanceId &instance)
{
    return countsPrefix(window) + instance.value();
}

/// Key of the final counts that are reported for the window; they are written only once. Thread safety: any thread.
inline std::string sealedCounts(UsageWindow window)
{
    return "usage/sealed/" + std::to_string(window);
}

/// Key of the first window of which the store's seals are complete, in an era. Thread safety: any thread.
inline std::string trustedFrom(StoreEra era)
{
    return "usage/trusted/" + std::to_string(era);
}

} // namespace cowsliphead::usagecountkeys

#pragma once

#include <concepts>
#include <functional>

#include "core/result.h"
#include "decide/fencingnumber.h"
#include "duty/serverorder.h"
#include "usage/windowcounts.h"

namespace cowsliphead
{

/// The platform's API as used by the holder of a duty. The reply to a call is invoked exactly once, in a later turn of the event loop.
/// Errors of a reply: PlatformUnavailable (the call may have taken effect), PlatformRefused (another holder has a higher fencing number; for
/// an order of reclaimable endpoints also: the platform has none available at the moment).
template <typename T>
concept DutyPlatform = requires(T &platform, const WindowCounts &counts, const ServerOrder &order, FencingNumber fence, std::function<void(Result<void>)> reply)
{
    platform.reportUsage(counts, fence, reply);
    platform.orderServers(order, fence, reply);
};

} // namespace cowsliphead

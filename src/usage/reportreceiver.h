#pragma once

#include <functional>

#include "core/result.h"
#include "usage/usagereport.h"

namespace cowsliphead
{

/// The platform's interface that takes usage reports. A report is idempotent by account and window; an error means that it may or
/// may not have been taken.
template <typename T>
concept ReportReceiver = requires(T &receiver, const UsageReport &report, std::function<void(Result<void>)> reply)
{
    receiver.submit(report, reply);
};

} // namespace cowsliphead

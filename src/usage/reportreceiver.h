#pragma once

#include <functional>

#include "core/result.h"
#include "usage/usagereport.h"

namespace cowsliphead
{

/// The platform's interface that accepts usage reports. Reports are idempotent per account and window; after an error the report may or
/// may not have been accepted.
template <typename T>
concept ReportReceiver = requires(T &receiver, const UsageReport &report, std::function<void(Result<void>)> reply)
{
    receiver.submit(report, reply);
};

} // namespace cowsliphead

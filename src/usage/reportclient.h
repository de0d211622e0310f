#pragma once

#include <functional>
#include <memory>

#include "core/result.h"
#include "usage/platformsettings.h"
#include "usage/usagereport.h"

namespace cowsliphead
{

class EventLoop;
class HttpClient;

/// Sends usage reports to the platform over HTTP. Models ReportReceiver.
class ReportClient
{
public:
    using Reply = std::function<void(Result<void>)>;

    /// Precondition: the loop outlives the client. Thread safety: the loop's task only.
    ReportClient(EventLoop &loop, const PlatformSettings &settings);
    ~ReportClient();

    /// Errors: PlatformUnavailable (the report may have been taken), PlatformRefused. Thread safety: the loop's task only.
    void submit(const UsageReport &report, const Reply &reply);

private:
    std::unique_ptr<HttpClient> client_;
};

} // namespace cowsliphead

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

/// Sends usage reports to the platform over HTTP. Models ReportReceiver. Thread safety: the loop's task only.
class ReportClient
{
public:
    using Reply = std::function<void(Result<void>)>;

    /// Precondition: the loop outlives the client.
    ReportClient(EventLoop &loop, const PlatformSettings &settings);
    ~ReportClient();

    /// Errors: PlatformUnavailable (the platform may have accepted the report), PlatformRefused.
    void submit(const UsageReport &report, const Reply &reply);

private:
    std::unique_ptr<HttpClient> client_;
};

} // namespace cowsliphead

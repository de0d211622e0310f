#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "core/systemclock.h"
#include "duty/reporter.h"
#include "store/httpstore.h"
#include "store/storesettings.h"
#include "task/timer.h"
#include "usage/platformsettings.h"
#include "usage/reportclient.h"
#include "usage/usagesettings.h"

namespace cowsliphead
{

class EventLoop;

/// A candidate for the reporter's duty of each shard. A task's behaviour.
class LedgerReporterBehaviour
{
public:
    /// It takes no message; it is driven by its timer.
    using Message = std::monostate;

    /// Precondition: the loop outlives the behaviour; no other process ever has the incarnation.
    /// Thread safety: the loop's task only.
    LedgerReporterBehaviour(
        EventLoop &loop, const StoreSettings &store, const PlatformSettings &platform, const UsageSettings &settings, const std::string &incarnation);
    ~LedgerReporterBehaviour();

    /// Nothing is expected. Thread safety: the loop's task only.
    void receive(Message message);

private:
    using ShardReporter = Reporter<HttpStore, SystemClock, ReportClient>;

    void tick();

    SystemClock clock_;
    HttpStore store_;
    ReportClient platform_;
    std::vector<std::unique_ptr<ShardReporter>> reporters_;
    Timer timer_;
};

} // namespace cowsliphead

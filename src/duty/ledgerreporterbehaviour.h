#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "core/systemclock.h"
#include "duty/ledgerreporter.h"
#include "store/httpstore.h"
#include "store/storesettings.h"
#include "task/timer.h"
#include "usage/platformsettings.h"
#include "usage/reportclient.h"
#include "usage/usagesettings.h"

namespace cowsliphead
{

class EventLoop;

/// Task behaviour that runs one LedgerReporter, a candidate for the reporter's duty, for each shard.
/// Thread safety: all members, on the loop's task only.
class LedgerReporterBehaviour
{
public:
    /// Takes no messages; driven by its timer.
    using Message = std::monostate;

    /// Precondition: the loop outlives the behaviour; incarnation identifies this run of the process and is never reused.
    LedgerReporterBehaviour(
        EventLoop &loop, const StoreSettings &store, const PlatformSettings &platform, const UsageSettings &settings, const std::string &incarnation);
    ~LedgerReporterBehaviour();

    /// Ignores the message.
    void receive(Message message);

private:
    using ShardReporter = LedgerReporter<HttpStore, SystemClock, ReportClient>;

    void tick();

    SystemClock clock_;
    HttpStore store_;
    ReportClient platform_;
    std::vector<std::unique_ptr<ShardReporter>> reporters_;
    Timer timer_;
};

} // namespace cowsliphead

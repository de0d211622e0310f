#pragma once

#include <cstdint>
#include <string>

#include "core/failuredomain.h"
#include "core/systemclock.h"
#include "core/time.h"
#include "decide/crashregister.h"
#include "decide/endpointchooser.h"
#include "decide/endpointhealth.h"
#include "decide/endpointruns.h"
#include "decide/quarantine.h"
#include "decide/retrybudget.h"
#include "decide/usageentry.h"
#include "endpoint/endpointpool.h"
#include "records/recordsnapshot.h"
#include "serve/claimclient.h"
#include "serve/isolationqueue.h"
#include "serve/servemetrics.h"
#include "task/address.h"
#include "traces/span.h"

namespace cowsliphead
{

class EventLoop;

/// State shared by all requests of one serving task. Thread safety: use only from the serving task.
struct ServingContext {
    EventLoop &loop_;
    SystemClock clock_;
    RecordSnapshot records_;

    /// Last time at which records_ was confirmed to be up to date.
    MonotonicTime recordsConfirmedAt_{};
    EndpointPool pool_;
    EndpointChooser chooser_;
    EndpointHealth health_;
    Quarantine quarantine_;

    /// Finds the parts of prompts that crash endpoints; quarantine_ judges whole requests.
    CrashRegister crashes_{};
    EndpointRuns endpointRuns_{};
    IsolationQueue isolationQueue_;
    FailureDomain failureDomain_;

    /// Identifies this run of the process, so that attempt identifiers are unique in the whole fleet.
    std::string incarnation_;
    std::uint64_t nextRequest_ = 1;
    ClaimClient claims_;
    RetryBudget retryBudget_;
    ServeMetrics metrics_;

    /// Receives finished spans; empty if tracing is off.
    Address<Span> spans_;

    /// Receives the usage of each ended request.
    Address<UsageEntry> usage_;
};

} // namespace cowsliphead

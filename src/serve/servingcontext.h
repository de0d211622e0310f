#pragma once

#include <cstdint>
#include <string>

#include "core/failuredomain.h"
#include "core/systemclock.h"
#include "core/time.h"
#include "decide/endpointchooser.h"
#include "decide/endpointhealth.h"
#include "decide/quarantine.h"
#include "decide/retrybudget.h"
#include "decide/usageentry.h"
#include "endpoint/endpointpool.h"
#include "records/recordsnapshot.h"
#include "serve/claimclient.h"
#include "serve/isolation.h"
#include "serve/servemetrics.h"
#include "task/address.h"
#include "traces/span.h"

namespace cowsliphead
{

class EventLoop;

/// What the requests of one serving task share. It belongs to that task.
struct ServingContext {
    EventLoop &loop_;
    SystemClock clock_;
    RecordSnapshot records_;
    /// The records are known to have been the newest at this time.
    MonotonicTime recordsConfirmedAt_{};
    EndpointPool pool_;
    EndpointChooser chooser_;
    EndpointHealth health_;
    Quarantine quarantine_;
    Isolation isolation_;
    FailureDomain failureDomain_;

    /// Identifies this run of the instance, so that no two attempts of the fleet have the same identifier.
    std::string incarnation_;
    std::uint64_t nextRequest_ = 1;
    ClaimClient claims_;
    RetryBudget retryBudget_;
    ServeMetrics metrics_;

    /// Where ended spans go; nowhere if traces are off.
    Address<Span> spans_;

    /// Takes the usage of each ended request.
    Address<UsageEntry> usage_;
};

} // namespace cowsliphead

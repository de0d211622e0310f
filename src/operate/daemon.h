#pragma once

#include <cstdint>

#include "claim/claimbehaviour.h"
#include "core/result.h"
#include "duty/followerbehaviour.h"
#include "duty/ledgerreporterbehaviour.h"
#include "metrics/metricsbehaviour.h"
#include "operate/daemonsettings.h"
#include "serve/servebehaviour.h"
#include "task/task.h"
#include "traces/spanexporterbehaviour.h"
#include "usage/usagebehaviour.h"

namespace cowsliphead
{

/// The tasks of one daemon and the addresses that join them.
class Daemon
{
public:
    /// Starts all tasks. Returns the port towards callers. Precondition: called once. Thread safety: owner only.
    /// Errors: ListenFailed, TlsFilesUnusable.
    Result<std::uint16_t> start(const DaemonSettings &settings);

    /// Reads certificate and key files again. Thread safety: owner only.
    void reloadTls();

    /// Takes no new work, and returns once all answers are written out. Thread safety: owner only.
    void drain();

private:
    void startUsage(const DaemonSettings &settings);
    Result<std::uint16_t> startMetrics(const MetricsSettings &settings);

    Task<ServeBehaviour> serve_;
    Task<FollowerBehaviour> follower_;
    Task<ClaimBehaviour> claims_;
    Task<UsageBehaviour> usage_;
    Task<LedgerReporterBehaviour> reporter_;
    Task<MetricsBehaviour> metrics_;
    Task<SpanExporterBehaviour> traces_;
};

} // namespace cowsliphead

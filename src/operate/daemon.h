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

/// Owns the tasks of one daemon and connects them by their message addresses. Thread safety: owner only.
class Daemon
{
public:
    /// Starts all tasks. Returns the port on which callers are served. Precondition: called once.
    /// Errors: ListenFailed, TlsFilesUnusable.
    Result<std::uint16_t> start(const DaemonSettings &settings);

    /// Reloads the TLS certificate and key files.
    void reloadTls();

    /// Stops accepting requests, lets those in flight end, and returns once all tasks have stopped.
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

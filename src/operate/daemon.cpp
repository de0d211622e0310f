#include "operate/daemon.h"

#include "core/randomhex.h"
#include "logs/log.h"
#include "task/listening.h"

namespace cowsliphead
{

namespace
{

constexpr int IncarnationBytes = 8;

} // namespace

Result<std::uint16_t> Daemon::start(const DaemonSettings &settings)
{
    const ServeLinks links{
        .claimRequests_ = claims_.address<ClaimRequest>(),
        .claimEnds_ = claims_.address<ClaimEnd>(),
        .spans_ = settings.traces_.isEnabled() ? traces_.address<Span>() : Address<Span>(),
        .usage_ = usage_.address<UsageEntry>(),
    };
    const auto port = startListening(
        serve_,
        [serve = settings.serve_, links](EventLoop &loop) { return std::make_unique<ServeBehaviour>(loop, serve, links); },
        [](ServeBehaviour &behaviour) { return behaviour.listen(); });
    if (!port) {
        return port;
    }
    const FollowerSettings follower{ settings.serve_.instance_, settings.serve_.failureDomain_, settings.store_, settings.peers_ };
    const auto peerPort = startListening(
        follower_,
        [follower, snapshots = serve_.address<RecordSnapshot>(), confirmations = serve_.address<RecordsConfirmed>()](EventLoop &loop) {
            return std::make_unique<FollowerBehaviour>(loop, follower, snapshots, confirmations);
        },
        [](FollowerBehaviour &behaviour) { return behaviour.listen(); });
    if (!peerPort) {
        return peerPort;
    }
    startUsage(settings);
    claims_.start([store = settings.store_, receiver = serve_.address<ClaimVerdict>()](EventLoop &loop) {
        return std::make_unique<ClaimBehaviour>(loop, store, receiver);
    });
    if (settings.traces_.isEnabled()) {
        traces_.start([traces = settings.traces_, instance = settings.serve_.instance_.value()](EventLoop &loop) {
            return std::make_unique<SpanExporterBehaviour>(loop, traces, instance);
        });
    }
    const auto metricsPort = startMetrics(settings.metrics_);
    if (!metricsPort) {
        return metricsPort;
    }
    logEvent(LogEvent::DaemonStarted,
             { { "instance", settings.serve_.instance_.value() },
               { "port", std::uint64_t(*port) },
               { "peerPort", std::uint64_t(*peerPort) },
               { "metricsPort", std::uint64_t(*metricsPort) } });
    return port;
}

void Daemon::startUsage(const DaemonSettings &settings)
{
    const auto incarnation = settings.serve_.instance_.value() + "-" + randomHex(IncarnationBytes);
    usage_.start([settings, incarnation](EventLoop &loop) { return std::make_unique<UsageBehaviour>(loop, settings.store_, settings.usage_, incarnation); });
    if (settings.platform_.port_ == 0) {
        return;
    }
    reporter_.start([settings, incarnation](EventLoop &loop) {
        return std::make_unique<LedgerReporterBehaviour>(loop, settings.store_, settings.platform_, settings.usage_, incarnation);
    });
}

void Daemon::reloadTls()
{
    serve_.send(TlsReload{});
}

void Daemon::drain()
{
    logEvent(LogEvent::DrainStarted);
    serve_.send(DrainRequest{});
    serve_.join();
    usage_.send(DrainRequest{});
    usage_.join();
    reporter_.stop();
    claims_.send(ClaimFlush{});
    claims_.join();
    follower_.stop();
    metrics_.stop();
    traces_.stop();
    logEvent(LogEvent::DaemonStopped);
}

Result<std::uint16_t> Daemon::startMetrics(const MetricsSettings &settings)
{
    if (!settings.isEnabled_) {
        return 0;
    }
    const MetricsBehaviour::Sources sources{ serve_.address<MetricsQuery>() };
    return startListening(
        metrics_,
        [this, sources](EventLoop &loop) { return std::make_unique<MetricsBehaviour>(loop, sources, metrics_.address<MetricsReport>()); },
        [settings](MetricsBehaviour &behaviour) { return behaviour.listen(settings.address_, settings.port_); });
}
} // namespace cowsliphead

#include "operate/daemon.h"

#include "logs/log.h"
#include "task/listening.h"

namespace cowsliphead
{

Result<std::uint16_t> Daemon::start(const DaemonSettings &settings)
{
    const auto spans = settings.traces_.isEnabled() ? traces_.address<Span>() : Address<Span>();
    const auto port = startListening(
        serve_,
        [serve = settings.serve_, spans](EventLoop &loop) { return std::make_unique<ServeBehaviour>(loop, serve, spans); },
        [](ServeBehaviour &behaviour) { return behaviour.listen(); });
    if (!port) {
        return port;
    }
    follower_.start([store = settings.store_, receiver = serve_.address<RecordSnapshot>()](EventLoop &loop) {
        return std::make_unique<FollowerBehaviour>(loop, store, receiver);
    });
    if (settings.traces_.isEnabled()) {
        traces_.start([traces = settings.traces_, instance = settings.serve_.instance_.value()](EventLoop &loop) {
            return std::make_unique<TraceBehaviour>(loop, traces, instance);
        });
    }
    const auto metricsPort = startMetrics(settings.metrics_);
    if (!metricsPort) {
        return metricsPort;
    }
    logEvent(LogEvent::DaemonStarted,
             { { "instance", settings.serve_.instance_.value() }, { "port", std::uint64_t(*port) }, { "metricsPort", std::uint64_t(*metricsPort) } });
    return port;
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

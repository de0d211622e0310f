#include "operate/daemon.h"

#include "core/randomtext.h"
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
    const auto port = startListening(
        serve_,
        [serve = settings.serve_, usage = usage_.address<UsageEntry>()](EventLoop &loop) { return std::make_unique<ServeBehaviour>(loop, serve, usage); },
        [](ServeBehaviour &behaviour) { return behaviour.listen(); });
    if (!port) {
        return port;
    }
    follower_.start([store = settings.store_, receiver = serve_.address<RecordSnapshot>()](EventLoop &loop) {
        return std::make_unique<FollowerBehaviour>(loop, store, receiver);
    });
    startUsage(settings);
    logEvent(LogEvent::DaemonStarted, { { "instance", settings.serve_.instance_.value() }, { "port", std::uint64_t(*port) } });
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
        return std::make_unique<ReporterBehaviour>(loop, settings.store_, settings.platform_, settings.usage_, incarnation);
    });
}

void Daemon::drain()
{
    logEvent(LogEvent::DrainStarted);
    serve_.send(DrainRequest{});
    serve_.join();
    usage_.send(DrainRequest{});
    usage_.join();
    reporter_.stop();
    follower_.stop();
    logEvent(LogEvent::DaemonStopped);
}

} // namespace cowsliphead

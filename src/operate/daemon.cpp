#include "operate/daemon.h"

#include "logs/log.h"
#include "task/listening.h"

namespace cowsliphead
{

Result<std::uint16_t> Daemon::start(const DaemonSettings &settings)
{
    const auto port = startListening(
        serve_,
        [serve = settings.serve_](EventLoop &loop) { return std::make_unique<ServeBehaviour>(loop, serve); },
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
    logEvent(LogEvent::DaemonStarted,
             { { "instance", settings.serve_.instance_.value() }, { "port", std::uint64_t(*port) }, { "peerPort", std::uint64_t(*peerPort) } });
    return port;
}

void Daemon::drain()
{
    logEvent(LogEvent::DrainStarted);
    serve_.send(DrainRequest{});
    serve_.join();
    follower_.stop();
    logEvent(LogEvent::DaemonStopped);
}

} // namespace cowsliphead

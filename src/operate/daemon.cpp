#include "operate/daemon.h"

#include "logs/log.h"
#include "task/listening.h"

namespace cowsliphead
{

Result<std::uint16_t> Daemon::start(const DaemonSettings &settings)
{
    const ClaimClient claims(claims_.address<ClaimRequest>(), claims_.address<ClaimEnd>());
    const auto port = startListening(
        serve_,
        [serve = settings.serve_, claims](EventLoop &loop) { return std::make_unique<ServeBehaviour>(loop, serve, claims); },
        [](ServeBehaviour &behaviour) { return behaviour.listen(); });
    if (!port) {
        return port;
    }
    follower_.start([store = settings.store_, receiver = serve_.address<RecordSnapshot>()](EventLoop &loop) {
        return std::make_unique<FollowerBehaviour>(loop, store, receiver);
    });
    claims_.start([store = settings.store_, receiver = serve_.address<ClaimVerdict>()](EventLoop &loop) {
        return std::make_unique<ClaimBehaviour>(loop, store, receiver);
    });
    logEvent(LogEvent::DaemonStarted, { { "instance", settings.serve_.instance_.value() }, { "port", std::uint64_t(*port) } });
    return port;
}

void Daemon::drain()
{
    logEvent(LogEvent::DrainStarted);
    serve_.send(DrainRequest{});
    serve_.join();
    claims_.send(ClaimFlush{});
    claims_.join();
    follower_.stop();
    logEvent(LogEvent::DaemonStopped);
}

} // namespace cowsliphead

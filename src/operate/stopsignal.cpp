#include "operate/stopsignal.h"

#include <csignal>

#include <pthread.h>

namespace cowsliphead
{

namespace
{

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

} // namespace

StopSignal::StopSignal()
{
    const auto signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void StopSignal::wait() const
{
    wait([] {});
}

void StopSignal::wait(const std::function<void()> &onHangUp) const
{
    const auto signals = stopSignals();
    int received = 0;
    while (sigwait(&signals, &received) == 0 && received == SIGHUP) {
        onHangUp();
    }
}

void StopSignal::wait(const std::function<void()> &onHangUp, std::chrono::milliseconds interval) const
{
    const auto signals = stopSignals();
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(interval);
    const timespec time{ seconds.count(), std::chrono::nanoseconds(interval - seconds).count() };
    for (;;) {
        const int received = sigtimedwait(&signals, nullptr, &time);
        if (received == SIGTERM || received == SIGINT) {
            return;
        }
        onHangUp();
    }
}

} // namespace cowsliphead

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
    const auto signals = stopSignals();
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace cowsliphead

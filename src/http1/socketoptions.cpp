#include "http1/socketoptions.h"

#include <algorithm>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cowsliphead
{

namespace
{

/// Probes that stay unanswered before the kernel reports the connection as lost.
constexpr int UnansweredProbes = 3;

void setOption(int socket, int level, int name, int value)
{
    // A refused option leaves the kernel's default, under which the connection works all the same.
    static_cast<void>(setsockopt(socket, level, name, &value, sizeof value));
}

} // namespace

void detectSilence(int socket, std::chrono::milliseconds within)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(within).count();
    const int interval = std::max<int>(1, static_cast<int>(seconds) / UnansweredProbes);
    setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, interval);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, interval);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, UnansweredProbes);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(within.count()));
}

} // namespace cowsliphead

#include "http1/socketoptions.h"

#include <algorithm>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cowsliphead
{

namespace
{

/// Number of unanswered keep-alive probes after which the kernel reports the connection as lost.
constexpr int MaxUnansweredProbes = 3;

void setOption(int socket, int level, int name, int value)
{
    // Errors are ignored: the connection also works with the kernel's defaults.
    static_cast<void>(setsockopt(socket, level, name, &value, sizeof value));
}

} // namespace

void limitKernelBuffers(int socket)
{
    setOption(socket, SOL_SOCKET, SO_RCVBUF, ReceiveBufferSize);
    setOption(socket, SOL_SOCKET, SO_SNDBUF, SendBufferSize);
}

void enableDeadPeerDetection(int socket, std::chrono::milliseconds timeout)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(timeout).count();
    const int interval = std::max<int>(1, static_cast<int>(seconds) / MaxUnansweredProbes);
    setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, interval);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, interval);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, MaxUnansweredProbes);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(timeout.count()));
}

} // namespace cowsliphead

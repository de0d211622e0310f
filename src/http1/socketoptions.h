#pragma once

#include <chrono>

namespace cowsliphead
{

/// Makes a connection fail if its peer acknowledges nothing for the given time, also while the connection is idle.
/// Uses keep-alive probes and TCP_USER_TIMEOUT; also sets TCP_NODELAY.
/// Precondition: a TCP socket. Thread safety: any thread.
void enableDeadPeerDetection(int socket, std::chrono::milliseconds timeout);

} // namespace cowsliphead

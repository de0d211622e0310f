#pragma once

#include <chrono>
#include <cstddef>

namespace cowsliphead
{

/// Bytes that the kernel receives for a connection that does not read; the sender waits beyond them.
constexpr std::size_t ReceiveBufferSize = std::size_t(64) << 10U;

/// Bytes that the kernel keeps of what was written to a connection whose peer does not read.
constexpr std::size_t SendBufferSize = std::size_t(128) << 10U;

/// Limits what the kernel buffers for the connection to ReceiveBufferSize and SendBufferSize, which it would otherwise extend to megabytes.
/// Precondition: a TCP socket. Thread safety: any thread.
void limitKernelBuffers(int socket);

/// Makes a connection fail if its peer acknowledges nothing for the given time, also while the connection is idle.
/// Uses keep-alive probes and TCP_USER_TIMEOUT; also sets TCP_NODELAY.
/// Precondition: a TCP socket. Thread safety: any thread.
void enableDeadPeerDetection(int socket, std::chrono::milliseconds timeout);

} // namespace cowsliphead

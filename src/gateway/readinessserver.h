#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "http1/callerconnection.h"
#include "http1/listener.h"

namespace cowsliphead
{

/// Answers the load balancer's readiness probe: 200 if this process accepts callers, 503 otherwise. Thread safety: the loop's task only.
class ReadinessServer
{
public:
    /// Precondition: the loop outlives the server.
    ReadinessServer(EventLoop &loop, std::function<bool()> isReady);
    ~ReadinessServer();
    ReadinessServer(const ReadinessServer &) = delete;
    ReadinessServer &operator=(const ReadinessServer &) = delete;

    /// Returns the port. Errors: ListenFailed.
    Result<std::uint16_t> listen(const SocketAddress &address);

private:
    void accept(int socket);

    EventLoop &loop_;
    std::function<bool()> isReady_;
    std::uint64_t nextNumber_ = 0;
    std::map<std::uint64_t, std::unique_ptr<CallerConnection>> connections_;
    Listener listener_;
};

} // namespace cowsliphead

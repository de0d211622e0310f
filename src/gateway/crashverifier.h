#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "http1/socketaddress.h"

namespace cowsliphead
{

class ClientConnection;
class EventLoop;
class Timer;

/// Tells an endpoint that has crashed from one that only closed a connection, by opening another connection to it. Thread safety: the loop's
/// task only.
class CrashVerifier
{
public:
    /// Precondition: the loop outlives the verifier.
    explicit CrashVerifier(EventLoop &loop);
    ~CrashVerifier();
    CrashVerifier(const CrashVerifier &) = delete;
    CrashVerifier &operator=(const CrashVerifier &) = delete;

    /// Calls onAlive, in a later iteration of the loop, if the endpoint at this address takes a connection and keeps it open. Checks of one
    /// address at the same time share the connection.
    void verify(const SocketAddress &address, std::function<void()> onAlive);

private:
    /// As for a dispatch: ten times the longest round trip between failure domains.
    static constexpr std::chrono::milliseconds ConnectTimeout{ 300 };

    /// Something before the endpoint may take the connection and then close it.
    static constexpr std::chrono::milliseconds OpenTime{ 100 };

    struct Check {
        std::shared_ptr<ClientConnection> connection_;
        std::unique_ptr<Timer> openTimer_;
        std::vector<std::function<void()>> onAlive_;
    };

    void finish(const SocketAddress &address, bool isAlive);

    EventLoop &loop_;
    std::map<SocketAddress, Check> checks_;
};

} // namespace cowsliphead

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>

#include "http1/buffereventdeleter.h"
#include "http1/listener.h"
#include "task/eventloop.h"
#include "task/timer.h"

/// Forwards TCP connections to a port of the loopback address and injects network faults.
class FaultProxy
{
public:
    /// The fault that applies to forwarded bytes and to connections.
    enum class Fault {
        None,
        Delay, ///< Forwards each piece of data 150 ms late.
        Silence, ///< Drops all data and does not forward the end of a connection.
        OneWay, ///< Drops the data sent towards the caller.
        Refuse, ///< Resets open connections and every new one.
    };

    FaultProxy(cowsliphead::EventLoop &loop, std::uint16_t target);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    std::uint16_t port() const
    {
        return port_;
    }

    /// Sets the fault for open and new connections. A connection that has lost data stays silent until it is reset.
    void setFault(Fault fault);

    /// Drops all further data of the open connections without closing them; new connections work.
    void silenceOpenConnections();

private:
    struct ProxiedConnection;

    static void onReadable(bufferevent *events, void *self);
    static void onEvent(bufferevent *events, short what, void *self);

    void accept(int socket);
    void forward(ProxiedConnection &connection, bufferevent *from);
    void resetConnections();

    cowsliphead::EventLoop &loop_;
    std::uint16_t target_;
    Fault fault_ = Fault::None;
    std::map<std::uint64_t, std::shared_ptr<ProxiedConnection>> proxiedConnections_;
    std::uint64_t lastConnectionNumber_ = 0;
    cowsliphead::Listener listener_;
    std::uint16_t port_ = 0;
};

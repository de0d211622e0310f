#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>

#include "http1/buffereventdeleter.h"
#include "http1/listener.h"
#include "task/eventloop.h"
#include "task/timer.h"

/// Passes connections on to a port of the loopback address, and harms them.
class FaultProxy
{
public:
    /// What happens to bytes.
    enum class Fault {
        None,
        Delay, ///< Each piece comes 150 ms late.
        Silence, ///< Nothing passes, and no connection ends.
        OneWay, ///< Nothing passes towards the caller.
        Refuse, ///< Connections are reset.
    };

    FaultProxy(cowsliphead::EventLoop &loop, std::uint16_t target);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    std::uint16_t port() const
    {
        return port_;
    }

    /// Holds for all connections, open and new, until the next call.
    void set(Fault fault);

    /// Open connections are silent from now on and never end; new ones work.
    void silenceOpenConnections();

private:
    struct Pair;

    static void onReadable(bufferevent *events, void *self);
    static void onEvent(bufferevent *events, short what, void *self);

    void accept(int socket);
    void pass(Pair &pair, bufferevent *from);
    void resetAll();

    cowsliphead::EventLoop &loop_;
    std::uint16_t target_;
    Fault fault_ = Fault::None;
    std::map<std::uint64_t, std::shared_ptr<Pair>> pairs_;
    std::uint64_t nextPair_ = 0;
    cowsliphead::Listener listener_;
    std::uint16_t port_ = 0;
};

#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "core/result.h"

struct evconnlistener;
struct sockaddr;

namespace cowsliphead
{

class EventLoop;
struct SocketAddress;

/// Accepts connections on one address.
class Listener
{
public:
    /// onSocket takes over each new socket. Precondition: the loop outlives the listener. Thread safety: the loop's task only.
    Listener(EventLoop &loop, std::function<void(int)> onSocket);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    /// Returns the port. Errors: ListenFailed. Thread safety: the loop's task only.
    Result<std::uint16_t> listen(const SocketAddress &address);

private:
    struct FreeListener {
        void operator()(evconnlistener *listener) const;
    };

    static void onAccepted(evconnlistener *listener, int socket, sockaddr *peer, int length, void *self);

    EventLoop &loop_;
    std::function<void(int)> onSocket_;
    std::unique_ptr<evconnlistener, FreeListener> listener_;
};

} // namespace cowsliphead

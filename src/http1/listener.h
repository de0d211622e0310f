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

/// Accepts TCP connections on one address. Thread safety: the loop's task only.
class Listener
{
public:
    /// onSocket takes ownership of each accepted socket. Precondition: the loop outlives the listener.
    Listener(EventLoop &loop, std::function<void(int)> onSocket);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    /// Starts listening and returns the port. Errors: ListenFailed.
    Result<std::uint16_t> listen(const SocketAddress &address);

private:
    struct ListenerDeleter {
        void operator()(evconnlistener *listener) const;
    };

    static void onAccepted(evconnlistener *listener, int socket, sockaddr *peer, int length, void *self);

    EventLoop &loop_;
    std::function<void(int)> onSocket_;
    std::unique_ptr<evconnlistener, ListenerDeleter> listener_;
};

} // namespace cowsliphead

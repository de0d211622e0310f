#pragma once

#include <functional>
#include <memory>
#include <string>

#include <nng/nng.h>

struct event;

namespace cowsliphead
{

class EventLoop;

/// Wraps an nng socket and delivers its incoming messages in an event loop. The destructor closes the socket.
/// Thread safety: the loop's task only.
class NngSocket
{
public:
    /// onMessage takes ownership of each message. Precondition: the socket is open, and the loop outlives this object.
    NngSocket(EventLoop &loop, nng_socket socket, std::function<void(nng_msg *)> onMessage);
    ~NngSocket();
    NngSocket(const NngSocket &) = delete;
    NngSocket &operator=(const NngSocket &) = delete;

    /// The underlying nng socket.
    nng_socket handle() const;

private:
    struct FreeEvent {
        void operator()(event *readEvent) const;
    };
    static void onReadable(int descriptor, short what, void *self);

    nng_socket socket_;
    std::function<void(nng_msg *)> onMessage_;
    std::unique_ptr<event, FreeEvent> event_;
};

} // namespace cowsliphead

#pragma once

#include <functional>
#include <memory>
#include <string>

#include <nng/nng.h>

struct event;

namespace cowsliphead
{

class EventLoop;

/// An nng socket whose messages are taken in an event loop. It is closed with the object.
class NngSocket
{
public:
    /// Precondition: the socket is open and the loop outlives it. Thread safety: the loop's task only.
    NngSocket(EventLoop &loop, nng_socket socket, std::function<void(nng_msg *)> onMessage);
    ~NngSocket();
    NngSocket(const NngSocket &) = delete;
    NngSocket &operator=(const NngSocket &) = delete;

    /// The nng object. Thread safety: the loop's task only.
    nng_socket handle() const;

private:
    struct FreeEvent {
        void operator()(event *readEvent) const;
    };
    static void onReadable(int descriptor, short what, void *self);

    nng_socket socket_;
    /// Owns the message that it is given.
    std::function<void(nng_msg *)> onMessage_;
    std::unique_ptr<event, FreeEvent> event_;
};

} // namespace cowsliphead

#include "peer/nngsocket.h"

#include <utility>

#include <event2/event.h>

#include "task/eventloop.h"

namespace cowsliphead
{

NngSocket::NngSocket(EventLoop &loop, nng_socket socket, std::function<void(nng_msg *)> onMessage)
    : socket_(socket)
    , onMessage_(std::move(onMessage))
{
    int descriptor = -1;
    if (nng_socket_get_int(socket_, NNG_OPT_RECVFD, &descriptor) == 0) {
        event_.reset(event_new(loop.base(), descriptor, EV_READ | EV_PERSIST, &NngSocket::onReadable, this));
        event_add(event_.get(), nullptr);
    }
}

NngSocket::~NngSocket()
{
    event_.reset();
    nng_close(socket_);
}

nng_socket NngSocket::handle() const
{
    return socket_;
}

void NngSocket::onReadable(int /*descriptor*/, short /*what*/, void *self)
{
    const auto *socket = static_cast<NngSocket *>(self);
    nng_msg *message = nullptr;
    // The callback may destroy this object, so only one message is received per call and the callback is copied first. The descriptor
    // stays readable while more messages are queued.
    if (nng_recvmsg(socket->socket_, &message, NNG_FLAG_NONBLOCK) == 0) {
        const auto onMessage = socket->onMessage_;
        onMessage(message);
    }
}

void NngSocket::FreeEvent::operator()(event *readEvent) const
{
    event_free(readEvent);
}

} // namespace cowsliphead

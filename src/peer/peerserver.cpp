#include "peer/peerserver.h"

#include <utility>

#include <nng/protocol/reqrep0/rep.h>

#include "core/errorcode.h"
#include "peer/nngsocket.h"
#include "peer/peerurl.h"

namespace cowsliphead
{

PeerServer::PeerServer(EventLoop &loop, Handler handler)
    : loop_(loop)
    , handler_(std::move(handler))
{
}

PeerServer::~PeerServer() = default;

Result<std::uint16_t> PeerServer::listen(const PeerAddress &address)
{
    // In a raw socket each message keeps the routing header of its query, so that several queries can be open at once.
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    if (nng_rep0_open_raw(&socket) != 0) {
        return failure(ErrorCode::ListenFailed);
    }
    socket_ = std::make_unique<NngSocket>(loop_, socket, [this](nng_msg *message) { handle(message); });
    nng_listener listener = NNG_LISTENER_INITIALIZER;
    int port = 0;
    if (nng_listen(socket, peerUrl(address).c_str(), &listener, 0) != 0 || nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port) != 0) {
        return failure(ErrorCode::ListenFailed);
    }
    return static_cast<std::uint16_t>(port);
}

void PeerServer::handle(nng_msg *message)
{
    const auto answer = handler_({ static_cast<const char *>(nng_msg_body(message)), nng_msg_len(message) });
    if (!answer) {
        nng_msg_free(message);
        return;
    }
    nng_msg_clear(message);
    nng_msg_append(message, answer->data(), answer->size());
    // An answer that cannot be sent at once is dropped; the peer repeats its query.
    if (nng_sendmsg(socket_->handle(), message, NNG_FLAG_NONBLOCK) != 0) {
        nng_msg_free(message);
    }
}

} // namespace cowsliphead

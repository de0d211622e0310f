#include "peer/peerconnection.h"

#include <chrono>
#include <utility>

#include <nng/protocol/reqrep0/req.h>

#include "peer/nngsocket.h"
#include "peer/peerurl.h"

namespace cowsliphead
{

namespace
{

constexpr std::chrono::milliseconds SendTimeout{ 600 };
constexpr std::chrono::milliseconds MinReconnectDelay{ 100 };
constexpr std::chrono::milliseconds MaxReconnectDelay{ 1000 };
/// Long enough to disable nng's own resending: the owner repeats its queries itself.
constexpr std::chrono::milliseconds ResendInterval = std::chrono::hours(24);

nng_duration toNngDuration(std::chrono::milliseconds duration)
{
    return static_cast<nng_duration>(duration.count());
}

} // namespace

PeerConnection::PeerConnection(EventLoop &loop, const PeerAddress &peer, std::function<void(std::string_view)> onAnswer)
{
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    if (nng_req0_open(&socket) != 0) {
        return;
    }
    nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, toNngDuration(MinReconnectDelay));
    nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, toNngDuration(MaxReconnectDelay));
    nng_socket_set_ms(socket, NNG_OPT_REQ_RESENDTIME, toNngDuration(ResendInterval));
    socket_ = std::make_unique<NngSocket>(loop, socket, [onAnswer = std::move(onAnswer)](nng_msg *message) {
        onAnswer({ static_cast<const char *>(nng_msg_body(message)), nng_msg_len(message) });
        nng_msg_free(message);
    });
    nng_dial(socket, peerUrl(peer).c_str(), nullptr, NNG_FLAG_NONBLOCK);
    pendingSend_ = std::make_unique<PendingSend>();
    if (nng_aio_alloc(&pendingSend_->aio_, &PeerConnection::onSent, pendingSend_.get()) == 0) {
        nng_aio_set_timeout(pendingSend_->aio_, toNngDuration(SendTimeout));
    }
}

PeerConnection::~PeerConnection() = default;

bool PeerConnection::sendQuery(const std::string &query)
{
    nng_msg *message = nullptr;
    if (!pendingSend_ || pendingSend_->aio_ == nullptr || pendingSend_->isBusy_ || nng_msg_alloc(&message, 0) != 0) {
        return false;
    }
    nng_msg_append(message, query.data(), query.size());
    pendingSend_->isBusy_ = true;
    nng_aio_set_msg(pendingSend_->aio_, message);
    nng_send_aio(socket_->handle(), pendingSend_->aio_);
    return true;
}

void PeerConnection::onSent(void *pendingSend)
{
    auto *sent = static_cast<PendingSend *>(pendingSend);
    if (nng_aio_result(sent->aio_) != 0) {
        nng_msg_free(nng_aio_get_msg(sent->aio_));
        nng_aio_set_msg(sent->aio_, nullptr);
    }
    sent->isBusy_ = false;
}

PeerConnection::PendingSend::~PendingSend()
{
    if (aio_ != nullptr) {
        nng_aio_stop(aio_);
        nng_aio_free(aio_);
    }
}

} // namespace cowsliphead

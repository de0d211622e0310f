#include "peer/peerconnectionpool.h"

#include <algorithm>
#include <utility>

#include "peer/peercodec.h"
#include "peer/peerconnection.h"
#include "task/eventloop.h"

namespace cowsliphead
{

PeerConnectionPool::PeerConnectionPool(EventLoop &loop, OnAnswer onAnswer)
    : loop_(loop)
    , onAnswer_(std::move(onAnswer))
{
}

PeerConnectionPool::~PeerConnectionPool() = default;

void PeerConnectionPool::ask(const PeerAddress &peer, const RecordQuery &question)
{
    // A dropped question is like a lost one: the owner notices that no answer comes.
    connectionTo(peer).ask(peercodec::encode(question));
}

PeerConnection &PeerConnectionPool::connectionTo(const PeerAddress &peer)
{
    if (!slots_.contains(peer) && slots_.size() >= MaxConnections) {
        closeOldest();
    }
    auto &slot = slots_[peer];
    slot.lastUse_ = ++uses_;
    if (!slot.connection_) {
        slot.connection_ = std::make_unique<PeerConnection>(loop_, peer, [this, peer](std::string_view bytes) {
            if (const auto answer = peercodec::decodeAnswer(bytes)) {
                // The owner may ask elsewhere and thereby close this connection, so it is told in a turn of its own.
                loop_.defer([this, peer, answer = *answer] { onAnswer_(peer, answer); });
            }
        });
    }
    return *slot.connection_;
}

void PeerConnectionPool::closeOldest()
{
    const auto oldest =
        std::min_element(slots_.begin(), slots_.end(), [](const auto &left, const auto &right) { return left.second.lastUse_ < right.second.lastUse_; });
    slots_.erase(oldest);
}

} // namespace cowsliphead

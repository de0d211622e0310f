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

void PeerConnectionPool::sendQuery(const PeerAddress &peer, const RecordQuery &query)
{
    // The return value is ignored: to the owner, a dropped query is the same as a lost one, to which no answer arrives.
    connectionTo(peer).sendQuery(peercodec::encode(query));
}

PeerConnection &PeerConnectionPool::connectionTo(const PeerAddress &peer)
{
    if (!slots_.contains(peer) && slots_.size() >= MaxConnections) {
        closeLeastRecentlyUsed();
    }
    auto &slot = slots_[peer];
    slot.lastUse_ = ++useCount_;
    if (!slot.connection_) {
        slot.connection_ = std::make_unique<PeerConnection>(loop_, peer, [this, peer](std::string_view bytes) {
            if (const auto answer = peercodec::decodeAnswer(bytes)) {
                // The owner may query another peer and thereby close this connection, so the call is deferred until this callback returns.
                loop_.defer([this, peer, answer = *answer] { onAnswer_(peer, answer); });
            }
        });
    }
    return *slot.connection_;
}

void PeerConnectionPool::closeLeastRecentlyUsed()
{
    const auto leastRecentlyUsed =
        std::min_element(slots_.begin(), slots_.end(), [](const auto &left, const auto &right) { return left.second.lastUse_ < right.second.lastUse_; });
    slots_.erase(leastRecentlyUsed);
}

} // namespace cowsliphead

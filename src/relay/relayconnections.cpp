#include "relay/relayconnections.h"

#include <string_view>
#include <utility>

#include "peer/peerconnection.h"
#include "task/eventloop.h"

namespace cowsliphead
{

RelayConnections::RelayConnections(EventLoop &loop, OnAnswer onAnswer)
    : loop_(loop)
    , onAnswer_(std::move(onAnswer))
    , self_(std::make_shared<RelayConnections *>(this))
{
}

RelayConnections::~RelayConnections()
{
    *self_ = nullptr;
}

bool RelayConnections::mayAsk(const PeerAddress &peer, MonotonicTime now) const
{
    const auto found = links_.find(peer);
    return found == links_.end() || !found->second.isAwaiting_ || now - found->second.askedAt_ >= AnswerTimeout;
}

void RelayConnections::ask(const PeerAddress &peer, const std::string &query, MonotonicTime now)
{
    auto &link = links_[peer];
    if (!link.connection_ || link.isAwaiting_) {
        link.connection_ = std::make_unique<PeerConnection>(loop_, peer, [self = self_, &loop = loop_, peer](std::string_view bytes) {
            if (*self == nullptr) {
                return;
            }
            // The receiver may close this connection, so it is called once this callback has returned.
            loop.defer([self, peer, answer = std::string(bytes), askedAt = (*self)->links_[peer].askedAt_] {
                if (*self != nullptr) {
                    (*self)->answered(peer, answer, askedAt);
                }
            });
        });
    }
    link.askedAt_ = now;
    link.isAwaiting_ = true;
    link.connection_->sendQuery(query);
}

void RelayConnections::answered(const PeerAddress &peer, const std::string &answer, MonotonicTime askedAt)
{
    const auto found = links_.find(peer);
    if (found != links_.end()) {
        found->second.isAwaiting_ = false;
    }
    onAnswer_(peer, answer, askedAt);
}

void RelayConnections::closeIdle(MonotonicTime now)
{
    std::erase_if(links_, [now](const auto &item) { return now - item.second.askedAt_ > IdleTime; });
}

} // namespace cowsliphead

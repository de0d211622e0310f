#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/time.h"
#include "decide/peeraddress.h"

namespace cowsliphead
{

class EventLoop;
class PeerConnection;

/// The connections of a gateway to other gateways, one query at a time on each. A connection whose query stays without an answer is
/// replaced, since it may have gone silent for good. Thread safety: the loop's task only.
class RelayConnections
{
public:
    /// Receives an answer and when its query was sent.
    using OnAnswer = std::function<void(const PeerAddress &peer, const std::string &answer, MonotonicTime askedAt)>;

    /// Precondition: the loop outlives the connections.
    RelayConnections(EventLoop &loop, OnAnswer onAnswer);
    ~RelayConnections();
    RelayConnections(const RelayConnections &) = delete;
    RelayConnections &operator=(const RelayConnections &) = delete;

    /// True if a query to the peer would be sent now, and not wait for an earlier one.
    bool mayAsk(const PeerAddress &peer, MonotonicTime now) const;

    /// Sends a query, which may be lost. onAnswer is called in a later iteration of the loop. Precondition: mayAsk().
    void ask(const PeerAddress &peer, const std::string &query, MonotonicTime now);

    /// Closes the connections that have not been used for a while.
    void closeIdle(MonotonicTime now);

private:
    /// Several round trips and the time that a busy gateway needs; shorter than the time after which a relay is replaced.
    static constexpr std::chrono::milliseconds AnswerTimeout{ 300 };
    static constexpr std::chrono::seconds IdleTime{ 10 };

    struct Link {
        std::unique_ptr<PeerConnection> connection_;
        MonotonicTime askedAt_;
        bool isAwaiting_ = false;
    };

    void answered(const PeerAddress &peer, const std::string &answer, MonotonicTime askedAt);

    EventLoop &loop_;
    OnAnswer onAnswer_;
    std::map<PeerAddress, Link> links_;

    /// Null once the connections are destroyed; shared with answers that are under way.
    std::shared_ptr<RelayConnections *> self_;
};

} // namespace cowsliphead

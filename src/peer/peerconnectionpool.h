#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string_view>

#include "decide/peeraddress.h"
#include "peer/recordanswer.h"
#include "peer/recordquery.h"

namespace cowsliphead
{

class EventLoop;
class PeerConnection;

/// The connections of one task to other daemons. If the maximum number is open, a new connection replaces the least
/// recently used one.
/// Models PeerLink. Thread safety: the loop's task only.
class PeerConnectionPool
{
public:
    using OnAnswer = std::function<void(const PeerAddress &, const RecordAnswer &)>;

    /// Precondition: the loop outlives the pool.
    PeerConnectionPool(EventLoop &loop, OnAnswer onAnswer);
    ~PeerConnectionPool();
    PeerConnectionPool(const PeerConnectionPool &) = delete;
    PeerConnectionPool &operator=(const PeerConnectionPool &) = delete;

    /// Sends a query, which may be lost. onAnswer is called in a later iteration of the loop.
    void sendQuery(const PeerAddress &peer, const RecordQuery &query);

private:
    static constexpr std::size_t MaxConnections = 4;

    struct Slot {
        std::unique_ptr<PeerConnection> connection_;
        std::uint64_t lastUse_ = 0;
    };

    PeerConnection &connectionTo(const PeerAddress &peer);
    void closeLeastRecentlyUsed();

    EventLoop &loop_;
    OnAnswer onAnswer_;
    std::map<PeerAddress, Slot> slots_;
    std::uint64_t useCount_ = 0;
};

} // namespace cowsliphead

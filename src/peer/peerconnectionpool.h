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

/// The connections of one task to other daemons; the one that was asked longest ago is closed when there are too many. Models PeerLink.
class PeerConnectionPool
{
public:
    using OnAnswer = std::function<void(const PeerAddress &, const RecordAnswer &)>;

    /// Precondition: the loop outlives the links. Thread safety: the loop's task only.
    PeerConnectionPool(EventLoop &loop, OnAnswer onAnswer);
    ~PeerConnectionPool();
    PeerConnectionPool(const PeerConnectionPool &) = delete;
    PeerConnectionPool &operator=(const PeerConnectionPool &) = delete;

    /// Sends a question, which may be lost. The answer follows in a later turn. Thread safety: the loop's task only.
    void ask(const PeerAddress &peer, const RecordQuery &question);

private:
    static constexpr std::size_t MaxConnections = 4;

    struct Slot {
        std::unique_ptr<PeerConnection> connection_;
        std::uint64_t lastUse_ = 0;
    };

    PeerConnection &connectionTo(const PeerAddress &peer);
    void closeOldest();

    EventLoop &loop_;
    OnAnswer onAnswer_;
    std::map<PeerAddress, Slot> slots_;
    std::uint64_t uses_ = 0;
};

} // namespace cowsliphead

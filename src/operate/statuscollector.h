#pragma once

#include <chrono>
#include <deque>
#include <list>
#include <memory>
#include <string_view>
#include <vector>

#include "core/systemclock.h"
#include "decide/peeraddress.h"
#include "operate/daemonstatus.h"
#include "task/eventloop.h"
#include "task/timer.h"

namespace cowsliphead
{

class PeerConnection;
struct RecordAnswer;

/// Queries one daemon for the list of all members, and then each member for its revision. Thread safety: owner only.
class StatusCollector
{
public:
    /// timeout: how long to wait for the answer of each daemon.
    explicit StatusCollector(std::chrono::milliseconds timeout);
    ~StatusCollector();
    StatusCollector(const StatusCollector &) = delete;
    StatusCollector &operator=(const StatusCollector &) = delete;

    /// Returns the status of the first daemon and of all members that it knows, in no particular order; empty if the first daemon does
    /// not answer. Blocks until every daemon has answered or timed out. Precondition: called once.
    std::vector<DaemonStatus> run(const PeerAddress &first);

private:
    struct StatusProbe {
        Member member_;
        MonotonicTime startedAt_;
        std::unique_ptr<PeerConnection> connection_;
        bool isAnswered_ = false;
    };
    using Probes = std::list<StatusProbe>;

    /// Maximum number of daemons that are queried at the same time.
    static constexpr std::size_t MaxOpen = 16;

    void startNextProbes();
    void startProbe(const Member &member, bool wantsAllMembers);
    void onAnswer(Probes::iterator probe, std::string_view bytes);
    void expireProbes();
    void end(Probes::iterator probe);

    std::chrono::milliseconds timeout_;
    SystemClock clock_;
    EventLoop loop_;
    Timer tick_;
    std::deque<Member> pendingMembers_;
    Probes open_;
    std::vector<DaemonStatus> statuses_;
};

} // namespace cowsliphead

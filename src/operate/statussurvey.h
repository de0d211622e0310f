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

/// Asks one daemon for all members, and then each of them what it holds.
class StatusSurvey
{
public:
    /// Thread safety: owner only.
    explicit StatusSurvey(std::chrono::milliseconds timeout);
    ~StatusSurvey();
    StatusSurvey(const StatusSurvey &) = delete;
    StatusSurvey &operator=(const StatusSurvey &) = delete;

    /// Returns the daemons that the first one knows, itself included, in no order; nothing if that one does not answer. Waits for all
    /// answers. Precondition: called once. Thread safety: owner only.
    std::vector<DaemonStatus> run(const PeerAddress &first);

private:
    struct Probe {
        Member member_;
        MonotonicTime askedAt_;
        std::unique_ptr<PeerConnection> connection_;
        bool isAnswered_ = false;
    };
    using Probes = std::list<Probe>;

    /// Daemons that are asked at the same time.
    static constexpr std::size_t MaxOpen = 16;

    void askMore();
    void ask(const Member &member, bool wantsAllMembers);
    void take(Probes::iterator probe, std::string_view bytes);
    void endLate();
    void end(Probes::iterator probe);

    std::chrono::milliseconds timeout_;
    SystemClock clock_;
    EventLoop loop_;
    Timer tick_;
    std::deque<Member> waiting_;
    Probes open_;
    std::vector<DaemonStatus> found_;
};

} // namespace cowsliphead

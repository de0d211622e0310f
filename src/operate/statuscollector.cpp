#include "operate/statuscollector.h"

#include <limits>
#include <utility>

#include "peer/peercodec.h"
#include "peer/peerconnection.h"

namespace cowsliphead
{

namespace
{

constexpr std::chrono::milliseconds TickInterval{ 20 };

} // namespace

StatusCollector::StatusCollector(std::chrono::milliseconds timeout)
    : timeout_(timeout)
    , tick_(loop_, [this] { expireProbes(); })
{
}

StatusCollector::~StatusCollector() = default;

std::vector<DaemonStatus> StatusCollector::run(const PeerAddress &first)
{
    Member member;
    member.address_ = first;
    startProbe(member, true);
    tick_.startRepeating(TickInterval);
    loop_.run();
    return std::move(statuses_);
}

void StatusCollector::startNextProbes()
{
    while (!pendingMembers_.empty() && open_.size() < MaxOpen) {
        const auto member = std::move(pendingMembers_.front());
        pendingMembers_.pop_front();
        startProbe(member, false);
    }
    if (open_.empty()) {
        loop_.stop();
    }
}

void StatusCollector::startProbe(const Member &member, bool wantsAllMembers)
{
    RecordQuery query;
    query.number_ = 1;
    // No change can follow this revision, so that the answer has the daemon's revision but no changes.
    query.after_ = std::numeric_limits<Revision>::max();
    query.wantsAllMembers_ = wantsAllMembers;
    const auto probe = open_.insert(open_.end(), StatusProbe{ member, clock_.now(), nullptr, false });
    probe->connection_ = std::make_unique<PeerConnection>(loop_, member.address_, [this, probe](std::string_view bytes) { onAnswer(probe, bytes); });
    probe->connection_->sendQuery(peercodec::encode(query));
}

void StatusCollector::onAnswer(Probes::iterator probe, std::string_view bytes)
{
    const auto answer = peercodec::decodeAnswer(bytes);
    if (!answer || answer->members_.empty() || probe->isAnswered_) {
        return;
    }
    probe->isAnswered_ = true;
    statuses_.push_back({ answer->members_.front(), true, answer->age_ });
    statuses_.back().member_.revision_ = answer->head_;
    pendingMembers_.insert(pendingMembers_.end(), answer->members_.begin() + 1, answer->members_.end());
    // This callback runs within the connection, so the connection is destroyed in a later turn of the event loop.
    loop_.defer([this, probe] { end(probe); });
}

void StatusCollector::expireProbes()
{
    for (auto probe = open_.begin(); probe != open_.end();) {
        const auto late = probe++;
        if (!late->isAnswered_ && clock_.now() - late->startedAt_ >= timeout_) {
            if (!late->member_.instance_.isEmpty()) {
                statuses_.push_back({ late->member_, false, std::nullopt });
            }
            end(late);
        }
    }
}

void StatusCollector::end(Probes::iterator probe)
{
    open_.erase(probe);
    startNextProbes();
}

} // namespace cowsliphead

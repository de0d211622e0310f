#include "operate/statussurvey.h"

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

StatusSurvey::StatusSurvey(std::chrono::milliseconds timeout)
    : timeout_(timeout)
    , tick_(loop_, [this] { endLate(); })
{
}

StatusSurvey::~StatusSurvey() = default;

std::vector<DaemonStatus> StatusSurvey::run(const PeerAddress &first)
{
    Member member;
    member.address_ = first;
    ask(member, true);
    tick_.startRepeating(TickInterval);
    loop_.run();
    return std::move(found_);
}

void StatusSurvey::askMore()
{
    while (!waiting_.empty() && open_.size() < MaxOpen) {
        const auto member = std::move(waiting_.front());
        waiting_.pop_front();
        ask(member, false);
    }
    if (open_.empty()) {
        loop_.stop();
    }
}

void StatusSurvey::ask(const Member &member, bool wantsAllMembers)
{
    RecordQuery question;
    question.number_ = 1;
    // No change follows this revision, so that the answer tells the head only.
    question.after_ = std::numeric_limits<Revision>::max();
    question.wantsAllMembers_ = wantsAllMembers;
    const auto probe = open_.insert(open_.end(), Probe{ member, clock_.now(), nullptr, false });
    probe->connection_ = std::make_unique<PeerConnection>(loop_, member.address_, [this, probe](std::string_view bytes) { take(probe, bytes); });
    probe->connection_->ask(peercodec::encode(question));
}

void StatusSurvey::take(Probes::iterator probe, std::string_view bytes)
{
    const auto answer = peercodec::decodeAnswer(bytes);
    if (!answer || answer->members_.empty() || probe->isAnswered_) {
        return;
    }
    probe->isAnswered_ = true;
    found_.push_back({ answer->members_.front(), true, answer->age_ });
    found_.back().member_.revision_ = answer->head_;
    waiting_.insert(waiting_.end(), answer->members_.begin() + 1, answer->members_.end());
    // The connection is in the middle of a call back, so it goes in a later turn.
    loop_.defer([this, probe] { end(probe); });
}

void StatusSurvey::endLate()
{
    for (auto probe = open_.begin(); probe != open_.end();) {
        const auto late = probe++;
        if (!late->isAnswered_ && clock_.now() - late->askedAt_ >= timeout_) {
            if (!late->member_.instance_.isEmpty()) {
                found_.push_back({ late->member_, false, std::nullopt });
            }
            end(late);
        }
    }
}

void StatusSurvey::end(Probes::iterator probe)
{
    open_.erase(probe);
    askMore();
}

} // namespace cowsliphead

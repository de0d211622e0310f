#include "decide/membership.h"

#include <algorithm>
#include <utility>

namespace cowsliphead
{

Membership::Membership(Member self)
    : self_(std::move(self))
{
}

const Member &Membership::self() const
{
    return self_;
}

void Membership::updateSelf(bool isRelay, Revision revision)
{
    ++self_.heartbeat_;
    self_.isRelay_ = isRelay;
    self_.revision_ = revision;
}

void Membership::mergeMember(const Member &member, MonotonicTime now)
{
    if (member.instance_.isEmpty() || member.instance_ == self_.instance_) {
        return;
    }
    auto &sighting = others_[member.instance_];
    if (sighting.member_.instance_.isEmpty() || member.isNewerThan(sighting.member_)) {
        sighting = Sighting{ member, now };
    }
}

void Membership::removeExpired(MonotonicTime now)
{
    std::erase_if(others_, [now](const auto &entry) { return now - entry.second.heardAt_ > SilenceLimit; });
}

const std::map<InstanceId, Membership::Sighting> &Membership::others() const
{
    return others_;
}

std::vector<Member> Membership::nextToGossip(std::size_t count)
{
    std::vector<Member> members{ self_ };
    const auto total = std::min(count, others_.size());
    auto next = others_.upper_bound(passedOn_);
    while (members.size() <= total) {
        if (next == others_.end()) {
            next = others_.begin();
        }
        members.push_back(next->second.member_);
        passedOn_ = next->first;
        ++next;
    }
    return members;
}

} // namespace cowsliphead

#include "relay/domainmembers.h"

namespace cowsliphead
{

void DomainMembers::heard(const GatewayMember &member, MonotonicTime now)
{
    const auto [found, isNew] = members_.try_emplace(member.incarnation_);
    found->second = { member, now };
    if (isNew) {
        // An earlier run of the gateway at the same address has ended.
        std::erase_if(members_, [&member](const auto &item) { return item.second.member_.address_ == member.address_ && item.first != member.incarnation_; });
        ++version_;
    }
}

void DomainMembers::left(const GatewayMember &member)
{
    if (members_.erase(member.incarnation_) > 0) {
        ++version_;
    }
}

void DomainMembers::expire(MonotonicTime now)
{
    if (std::erase_if(members_, [now](const auto &item) { return now - item.second.at_ > SilenceLimit; }) > 0) {
        ++version_;
    }
}

std::vector<GatewayMember> DomainMembers::members() const
{
    std::vector<GatewayMember> members;
    members.reserve(members_.size());
    for (const auto &[incarnation, heard] : members_) {
        members.push_back(heard.member_);
    }
    return members;
}

} // namespace cowsliphead

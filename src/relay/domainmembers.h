#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "core/time.h"
#include "relay/gatewaymember.h"

namespace cowsliphead
{

/// The gateways of a failure domain that a relay has heard of lately. The version changes with the list, so that the list is sent only to
/// gateways that do not have it yet. Thread safety: owner task only.
class DomainMembers
{
public:
    /// The gateway sent a query.
    void heard(const GatewayMember &member, MonotonicTime now);

    /// The gateway is stopping.
    void left(const GatewayMember &member);

    /// Removes the gateways that have been silent for too long.
    void expire(MonotonicTime now);

    /// In order of their incarnations.
    std::vector<GatewayMember> members() const;

    std::size_t size() const
    {
        return members_.size();
    }

    std::uint64_t version() const
    {
        return version_;
    }

private:
    static constexpr std::chrono::seconds SilenceLimit{ 3 };

    struct Heard {
        GatewayMember member_;
        MonotonicTime at_;
    };

    std::map<InstanceId, Heard> members_;
    std::uint64_t version_ = 1;
};

} // namespace cowsliphead

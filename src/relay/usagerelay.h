#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/instanceid.h"
#include "relay/usageoutbox.h"
#include "task/address.h"
#include "usage/countsstored.h"
#include "usage/membercounts.h"

namespace cowsliphead
{

struct RelayAnswer;

/// Passes usage counts between the duty task and the relay: this gateway's counts to its relay, or, on a relay, the counts of the failure
/// domain's gateways to its own duty task, which writes them to the store; and the other way what is stored. Thread safety: owner task only.
class UsageRelay
{
public:
    /// self: this run of the process. counts, stored: lead to the duty task.
    UsageRelay(InstanceId self, Address<MemberCounts> counts, Address<CountsStored> stored);

    /// This gateway has counted requests.
    void counted(const MemberCounts &counts, bool isRelay);

    /// The store holds counts of a gateway, as the duty task tells.
    void stored(const CountsStored &counts);

    /// This gateway became a relay: what no relay has is written by itself.
    void becameRelay();

    /// This gateway is no relay any more.
    void ceasedToBeRelay();

    /// Returns the counts for the next query.
    std::vector<MemberCounts> takeForQuery();

    /// The gateway asked last has answered.
    void answered(const RelayAnswer &answer);

    /// As a relay: a gateway sent counts.
    void received(const std::vector<MemberCounts> &counts);

    /// As a relay: which counts of a gateway are stored.
    std::vector<CountsStored> storedOf(const InstanceId &gateway) const;

private:
    /// Windows for which a relay remembers whose counts are stored.
    static constexpr std::size_t RememberedWindows = 4;

    void ownStored(CountsStored counts);

    InstanceId self_;
    Address<MemberCounts> counts_;
    Address<CountsStored> stored_;
    UsageOutbox outbox_;

    /// What the last query carried, and the relay that answered last.
    std::vector<MemberCounts> sent_;
    InstanceId sentTo_;

    /// As a relay: the versions of each gateway's counts that the store holds, by window.
    std::map<InstanceId, std::map<UsageWindow, std::uint64_t>> storedVersions_;
};

} // namespace cowsliphead

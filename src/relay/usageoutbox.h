#pragma once

#include <map>
#include <vector>

#include "usage/countsstored.h"
#include "usage/membercounts.h"

namespace cowsliphead
{

/// This gateway's counts on their way to the relay. They are sent to each relay once, and again to the next one while the store does not
/// hold them. Thread safety: owner task only.
class UsageOutbox
{
public:
    /// Takes newer counts of a window.
    void put(const MemberCounts &counts);

    /// Returns the counts that the relay does not have yet.
    std::vector<MemberCounts> toSend() const;

    /// The relay has received these counts.
    void delivered(const std::vector<MemberCounts> &counts);

    /// Another relay is asked from now on.
    void relayChanged();

    /// The store holds counts.
    void stored(const CountsStored &counts);

private:
    /// Older windows are no longer reported.
    static constexpr std::size_t MaxWindows = 4;

    struct Entry {
        MemberCounts counts_;
        std::uint64_t deliveredVersion_ = 0;
    };

    std::map<UsageWindow, Entry> entries_;
};

} // namespace cowsliphead

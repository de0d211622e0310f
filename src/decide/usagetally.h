#pragma once

#include <cstdint>
#include <set>

#include "decide/usagecounter.h"
#include "decide/usageentry.h"

namespace cowsliphead
{

/// Counts the entries of one incarnation, each exactly once. Thread safety: owner task only.
class UsageTally
{
public:
    /// Counts the entry in the window. Returns false and changes nothing if the entry was counted before. A window older than the
    /// newest one counts as the newest.
    bool add(const UsageEntry &entry, UsageWindow window);

    const UsageCounter &counter() const;

    /// Subtracts usage that is counted elsewhere too. Precondition: it was counted here.
    void subtractUsage(const UsageSums &counted);

private:
    bool markCounted(std::uint64_t sequence);
    void advanceTo(UsageWindow window);

    UsageCounter counter_;

    /// All entries before this sequence number are counted.
    std::uint64_t firstMissing_ = 1;

    /// Counted sequence numbers after firstMissing_.
    std::set<std::uint64_t> countedAhead_;
};

} // namespace cowsliphead

#pragma once

#include <cstdint>
#include <set>

#include "decide/usagecounter.h"
#include "decide/usageentry.h"

namespace cowsliphead
{

/// Counts the entries of one incarnation, each of them once.
class UsageTally
{
public:
    /// Counts the entry in the window; one handed in before changes nothing and returns false. A window older than the newest
    /// one counts as the newest. Thread safety: owner task only.
    bool add(const UsageEntry &entry, UsageWindow window);

    /// Thread safety: owner task only.
    const UsageCounter &counter() const;

    /// Goes on with what was counted beyond the sums, which are counted elsewhere. Precondition: they were counted here.
    /// Thread safety: owner task only.
    void subtractUsage(const UsageSums &counted);

private:
    bool isNew(std::uint64_t sequence);
    void enter(UsageWindow window);

    UsageCounter counter_;

    /// All entries before this sequence number are counted.
    std::uint64_t firstMissing_ = 1;
    std::set<std::uint64_t> later_;
};

} // namespace cowsliphead

#pragma once

#include <cstddef>
#include <map>

#include "core/time.h"
#include "decide/claimentry.h"
#include "decide/claimkey.h"
#include "decide/claimlimits.h"
#include "decide/claimverdictkind.h"

namespace cowsliphead
{

struct ClaimEnd;
struct ClaimRequest;

/// The claims of one shard, which are stored together as one value. Thread safety: as any value type.
class ClaimTable
{
public:
    using Entries = std::map<ClaimKey, ClaimEntry>;

    ClaimTable() = default;

    explicit ClaimTable(Entries entries);

    /// Grants the claim and adds it, or returns why it is refused. A claim that its owner already holds is granted again.
    ClaimVerdictKind claim(const ClaimRequest &request, WallTime now, const ClaimLimits &limits, bool checksReleaseTime = true);

    /// Records how a request ended. Returns false if the owner holds no claim here.
    bool end(const ClaimEnd &end, const ClaimLimits &limits);

    /// Removes the entries that are older than the retention.
    void removeExpired(WallTime now, const ClaimLimits &limits);

    /// Returns null if the key has no entry.
    const ClaimEntry *find(const ClaimKey &key) const;

    const Entries &entries() const;

    /// Upper bound of the encoded size in bytes.
    std::size_t size() const;

    bool operator==(const ClaimTable &) const = default;

private:
    Entries entries_;
    std::size_t size_ = 0;
};

} // namespace cowsliphead

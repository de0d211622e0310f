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

/// The claims of one shard, as one value of the store holds them.
class ClaimTable
{
public:
    using Entries = std::map<ClaimKey, ClaimEntry>;

    ClaimTable() = default;

    /// Thread safety: as any value type.
    explicit ClaimTable(Entries entries);

    /// Grants the claim and enters it, or says why not. A claim that its owner already has is granted again.
    /// Thread safety: as any value type.
    ClaimVerdictKind claim(const ClaimRequest &request, WallTime now, const ClaimLimits &limits, bool heedsReleaseTime = true);

    /// Enters how a request ended. False if the owner has no claim here. Thread safety: as any value type.
    bool end(const ClaimEnd &end, const ClaimLimits &limits);

    /// Forgets what is older than the retention. Thread safety: as any value type.
    void forget(WallTime now, const ClaimLimits &limits);

    /// Null if the key has no entry. Thread safety: as any value type.
    const ClaimEntry *find(const ClaimKey &key) const;

    /// Thread safety: as any value type.
    const Entries &entries() const;

    /// A bound for the encoded size in bytes. Thread safety: as any value type.
    std::size_t size() const;

    bool operator==(const ClaimTable &) const = default;

private:
    Entries entries_;
    std::size_t size_ = 0;
};

} // namespace cowsliphead

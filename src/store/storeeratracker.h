#pragma once

#include "core/result.h"
#include "store/leaseid.h"
#include "store/storeera.h"
#include "store/storerevision.h"

namespace cowsliphead
{

struct StoreWrite;

/// Keeps a store's client from mixing up facts of two eras. The store itself compares bare numbers, which it gives out again after it came back
/// from a copy. Thread safety: owner task only.
class StoreEraTracker
{
public:
    /// The newest era that an answer of the store has told; 0 before the first one.
    StoreEra newest() const
    {
        return newest_;
    }

    /// An answer of the store arrived. Those of two connections may arrive out of order.
    void answered(StoreEra era);

    /// Fails if the write relies on an era before the newest known one; the store must not see it then. Errors: StoreConflict if that is the era of a
    /// revision, StoreLeaseUnknown if it is that of the lease.
    Result<void> mayWrite(const StoreWrite &write) const;

    /// False if the lease was granted in an era before the newest known one: its number may belong to another lease by now.
    bool mayName(const LeaseId &lease) const;

    /// The outcome of a write that the store has executed at the given revision. Errors: as mayWrite(), if it relied on another era and so may have met
    /// the wrong revision or lease. The write has taken effect then.
    static Result<StoreRevision> outcomeOf(const StoreWrite &write, const StoreRevision &executedAt);

    /// False if the revision is of an era before the newest known one, whose history the store has no more.
    bool mayWatch(const StoreRevision &after) const;

    /// True if an answer of that era continues a watch from this revision.
    static bool isContinuedBy(const StoreRevision &after, StoreEra era);

private:
    StoreEra newest_ = 0;
};

} // namespace cowsliphead

#include "store/storeeratracker.h"

#include <algorithm>

#include "core/errorcode.h"
#include "store/storewrite.h"

namespace cowsliphead
{

namespace
{

/// True if all that the write relies on satisfies the condition on its era.
template <typename Condition>
bool dependsOnlyOn(const StoreWrite &write, Condition isAccepted)
{
    const auto isRevisionAccepted = [&](const StoreRevision &revision) { return revision.isNone() || isAccepted(revision.era_); };
    return isRevisionAccepted(write.expectedRevision_) && (write.lease_.isEmpty() || isAccepted(eraOf(write.lease_)))
        && std::all_of(write.guards_.begin(), write.guards_.end(), [&](const KeyRevision &guard) { return isRevisionAccepted(guard.revision_); });
}

} // namespace

void StoreEraTracker::answered(StoreEra era)
{
    newest_ = std::max(newest_, era);
}

bool StoreEraTracker::mayWrite(const StoreWrite &write) const
{
    return dependsOnlyOn(write, [this](StoreEra era) { return era >= newest_; });
}

bool StoreEraTracker::mayName(const LeaseId &lease) const
{
    return eraOf(lease) >= newest_;
}

Result<StoreRevision> StoreEraTracker::outcomeOf(const StoreWrite &write, const StoreRevision &executedAt)
{
    if (!dependsOnlyOn(write, [&executedAt](StoreEra era) { return era == executedAt.era_; })) {
        return failure(ErrorCode::StoreConflict);
    }
    return executedAt;
}

bool StoreEraTracker::mayWatch(const StoreRevision &after) const
{
    return after.isNone() || after.era_ >= newest_;
}

bool StoreEraTracker::isContinuedBy(const StoreRevision &after, StoreEra era)
{
    return after.isNone() || after.era_ == era;
}

} // namespace cowsliphead

#include "store/storeeratracker.h"

#include <algorithm>

#include "core/errorcode.h"
#include "store/storewrite.h"

namespace cowsliphead
{

namespace
{

/// Fails if the condition does not hold for the era of something that the write relies on.
template <typename Condition>
Result<void> check(const StoreWrite &write, Condition isAccepted)
{
    const auto isRevisionAccepted = [&](const StoreRevision &revision) { return revision.isNone() || isAccepted(revision.era_); };
    const bool areGuardsAccepted =
        std::all_of(write.guards_.begin(), write.guards_.end(), [&](const KeyRevision &guard) { return isRevisionAccepted(guard.revision_); });
    if (!isRevisionAccepted(write.expectedRevision_) || !areGuardsAccepted) {
        return failure(ErrorCode::StoreConflict);
    }
    if (!write.lease_.isEmpty() && !isAccepted(eraOf(write.lease_))) {
        return failure(ErrorCode::StoreLeaseUnknown);
    }
    return {};
}

} // namespace

void StoreEraTracker::answered(StoreEra era)
{
    newest_ = std::max(newest_, era);
}

Result<void> StoreEraTracker::mayWrite(const StoreWrite &write) const
{
    return check(write, [this](StoreEra era) { return era >= newest_; });
}

bool StoreEraTracker::mayName(const LeaseId &lease) const
{
    return eraOf(lease) >= newest_;
}

Result<StoreRevision> StoreEraTracker::outcomeOf(const StoreWrite &write, const StoreRevision &executedAt)
{
    return check(write, [&executedAt](StoreEra era) { return era == executedAt.era_; }).map([&executedAt] { return executedAt; });
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

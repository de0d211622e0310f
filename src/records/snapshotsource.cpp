#include "records/snapshotsource.h"

namespace cowsliphead
{

SnapshotPart SnapshotSource::part(const RecordSet &current, Revision wanted, const RecordKey &after, std::size_t maxBytes, MonotonicTime now)
{
    const bool isRetained = revision_ != 0 && now - takenAt_ < RetentionPeriod;
    if (!isRetained) {
        revision_ = current.revision();
        records_ = current.all();
        takenAt_ = now;
    }
    SnapshotPart part;
    part.revision_ = revision_;
    auto next = wanted == revision_ ? records_.upper_bound(after) : records_.begin();
    std::size_t bytes = 0;
    for (; next != records_.end() && (part.texts_.empty() || bytes < maxBytes); ++next) {
        part.texts_.push_back(next->second->text_);
        bytes += part.texts_.back().size();
    }
    part.isLast_ = next == records_.end();
    return part;
}

} // namespace cowsliphead

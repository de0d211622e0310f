#include "records/recordlog.h"

#include "records/recordset.h"

namespace cowsliphead
{

RecordLog::RecordLog()
    : snapshot_(std::make_shared<const RecordSet>())
{
}

bool RecordLog::apply(const Change &change)
{
    if (change.revision_ != revision() + 1) {
        return false;
    }
    snapshot_ = snapshot_->after(change);
    recentChanges_.push_back(change);
    if (recentChanges_.size() > MaxRecentChanges) {
        recentChanges_.pop_front();
    }
    return true;
}

bool RecordLog::install(const RecordSnapshot &snapshot)
{
    if (snapshot->revision() <= revision()) {
        return false;
    }
    snapshot_ = snapshot;
    recentChanges_.clear();
    return true;
}

std::optional<std::vector<Change>> RecordLog::changesAfter(Revision revision, std::size_t maxBytes) const
{
    if (revision >= this->revision()) {
        return std::vector<Change>();
    }
    const auto missing = this->revision() - revision;
    if (missing > recentChanges_.size()) {
        return std::nullopt;
    }
    std::vector<Change> changes;
    std::size_t bytes = 0;
    for (auto change = recentChanges_.end() - static_cast<std::ptrdiff_t>(missing); change != recentChanges_.end(); ++change) {
        bytes += change->text_.size() + change->key_.name_.size();
        if (!changes.empty() && bytes > maxBytes) {
            break;
        }
        changes.push_back(*change);
    }
    return changes;
}

const RecordSnapshot &RecordLog::snapshot() const
{
    return snapshot_;
}

Revision RecordLog::revision() const
{
    return snapshot_->revision();
}

} // namespace cowsliphead

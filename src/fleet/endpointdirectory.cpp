#include "fleet/endpointdirectory.h"

#include <set>

namespace cowsliphead
{

bool EndpointDirectory::isOutdated(const EndpointEntry &entry) const
{
    const auto left = leaving_.find(entry.id_);
    if (left != leaving_.end() && left->second == entry.incarnation_) {
        return true;
    }
    const auto known = known_.find(entry.id_);
    if (known == known_.end()) {
        return false;
    }
    const auto &held = known->second.entry_;
    return entry.incarnation_ < held.incarnation_ || (entry.incarnation_ == held.incarnation_ && entry.sequence_ < held.sequence_);
}

bool EndpointDirectory::written(const EndpointEntry &entry)
{
    if (entry.isLeaving_) {
        leaving_[entry.id_] = entry.incarnation_;
    } else if (isOutdated(entry)) {
        return false;
    }
    known_[entry.id_] = Known{ entry, std::nullopt };
    return true;
}

void EndpointDirectory::removed(const EndpointId &id, std::optional<MonotonicTime> awaitedUntil)
{
    const auto found = known_.find(id);
    if (found == known_.end()) {
        return;
    }
    if (!awaitedUntil || found->second.entry_.isLeaving_) {
        known_.erase(found);
    } else if (!found->second.awaitedUntil_) {
        found->second.awaitedUntil_ = awaitedUntil;
    }
}

void EndpointDirectory::replaced(const std::vector<EndpointEntry> &entries, std::optional<MonotonicTime> awaitedUntil)
{
    std::set<EndpointId> held;
    for (const auto &entry : entries) {
        held.insert(entry.id_);
        written(entry);
    }
    std::vector<EndpointId> missing;
    for (const auto &[id, known] : known_) {
        if (!held.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const auto &id : missing) {
        removed(id, awaitedUntil);
    }
}

bool EndpointDirectory::expire(MonotonicTime now)
{
    return std::erase_if(known_, [now](const auto &item) { return item.second.awaitedUntil_ && now >= *item.second.awaitedUntil_; }) > 0;
}

std::vector<EndpointEntry> EndpointDirectory::entries() const
{
    std::vector<EndpointEntry> entries;
    entries.reserve(known_.size());
    for (const auto &[id, known] : known_) {
        entries.push_back(known.entry_);
    }
    return entries;
}

} // namespace cowsliphead

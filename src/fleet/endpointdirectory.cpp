#include "fleet/endpointdirectory.h"

#include <set>

namespace cowsliphead
{

EndpointDirectory::EndpointDirectory(std::chrono::milliseconds returnGrace)
    : returnGrace_(returnGrace)
{
}

void EndpointDirectory::written(const EndpointEntry &entry)
{
    known_[entry.id_] = Known{ entry, std::nullopt };
}

void EndpointDirectory::removed(const EndpointId &id, bool hasStoreBeenAway, MonotonicTime now)
{
    const auto found = known_.find(id);
    if (found == known_.end()) {
        return;
    }
    if (!hasStoreBeenAway || found->second.entry_.isLeaving_) {
        known_.erase(found);
    } else if (!found->second.awaitedUntil_) {
        found->second.awaitedUntil_ = now + returnGrace_;
    }
}

void EndpointDirectory::replaced(const std::vector<EndpointEntry> &entries, bool hasStoreBeenAway, MonotonicTime now)
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
        removed(id, hasStoreBeenAway, now);
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

#include "fleet/endpointdirectory.h"

#include <set>

namespace cowsliphead
{

bool EndpointDirectory::isOutdated(const EndpointEntry &entry) const
{
    const auto leaving = leavingIncarnations_.find(entry.id_);
    if (leaving != leavingIncarnations_.end() && leaving->second == entry.incarnation_) {
        return true;
    }
    const auto registration = registrations_.find(entry.id_);
    if (registration == registrations_.end()) {
        return false;
    }
    const auto &known = registration->second.entry_;
    return entry.incarnation_ < known.incarnation_ || (entry.incarnation_ == known.incarnation_ && entry.sequence_ < known.sequence_);
}

bool EndpointDirectory::update(const EndpointEntry &entry)
{
    if (entry.isLeaving_) {
        leavingIncarnations_[entry.id_] = entry.incarnation_;
    } else if (isOutdated(entry)) {
        return false;
    }
    registrations_[entry.id_] = Registration{ entry, std::nullopt };
    return true;
}

void EndpointDirectory::remove(const EndpointId &id, std::optional<MonotonicTime> keepUntil)
{
    const auto found = registrations_.find(id);
    if (found == registrations_.end()) {
        return;
    }
    if (!keepUntil || found->second.entry_.isLeaving_) {
        registrations_.erase(found);
    } else if (!found->second.keepUntil_) {
        found->second.keepUntil_ = keepUntil;
    }
}

void EndpointDirectory::replaceAll(const std::vector<EndpointEntry> &entries, std::optional<MonotonicTime> keepUntil)
{
    std::set<EndpointId> present;
    for (const auto &entry : entries) {
        present.insert(entry.id_);
        update(entry);
    }
    std::vector<EndpointId> missing;
    for (const auto &[id, registration] : registrations_) {
        if (!present.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const auto &id : missing) {
        remove(id, keepUntil);
    }
}

bool EndpointDirectory::expire(MonotonicTime now)
{
    return std::erase_if(registrations_, [now](const auto &item) { return item.second.keepUntil_ && now >= *item.second.keepUntil_; }) > 0;
}

std::vector<EndpointEntry> EndpointDirectory::entries() const
{
    std::vector<EndpointEntry> entries;
    entries.reserve(registrations_.size());
    for (const auto &[id, registration] : registrations_) {
        entries.push_back(registration.entry_);
    }
    return entries;
}

} // namespace cowsliphead

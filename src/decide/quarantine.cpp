#include "decide/quarantine.h"

#include <algorithm>

namespace cowsliphead
{

Quarantine::Quarantine(const QuarantineLimits &limits)
    : limits_(limits)
{
}

QuarantineStatus Quarantine::quarantineStatus(const RequestDigest &digest, MonotonicTime now) const
{
    const auto found = entries_.find(digest);
    if (found == entries_.end() || now >= found->second.until_) {
        return QuarantineStatus::Trusted;
    }
    if (found->second.isQuarantined_) {
        return QuarantineStatus::Quarantined;
    }
    return found->second.crashed_.size() >= limits_.crashesOfSuspect_ ? QuarantineStatus::Suspect : QuarantineStatus::Trusted;
}

void Quarantine::crashed(const RequestDigest &digest, const EndpointId &endpoint, bool wasAlone, MonotonicTime now)
{
    const bool wasSuspect = quarantineStatus(digest, now) != QuarantineStatus::Trusted;
    auto &entry = entryFor(digest, now);
    if (entry.crashed_.size() < limits_.crashesOfSuspect_) {
        entry.crashed_.insert(endpoint);
    }
    entry.isQuarantined_ = entry.isQuarantined_ || (wasSuspect && wasAlone);
    entry.until_ = now + (entry.isQuarantined_ ? limits_.quarantineTime_ : limits_.suspicionTime_);
}

void Quarantine::answered(const RequestDigest &digest)
{
    const auto found = entries_.find(digest);
    if (found != entries_.end() && !found->second.isQuarantined_) {
        entries_.erase(found);
    }
}

std::vector<QuarantineEntry> Quarantine::snapshot(MonotonicTime now) const
{
    std::vector<QuarantineEntry> snapshot;
    for (const auto &[digest, entry] : entries_) {
        if (now < entry.until_) {
            const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(entry.until_ - now);
            snapshot.push_back({ digest, entry.crashed_, entry.isQuarantined_, remaining });
        }
    }
    return snapshot;
}

void Quarantine::merge(const std::vector<QuarantineEntry> &entries, MonotonicTime now)
{
    const auto longest = std::max(limits_.suspicionTime_, limits_.quarantineTime_);
    for (const auto &theirs : entries) {
        auto &ours = entryFor(theirs.digest_, now);
        for (const auto &endpoint : theirs.crashed_) {
            if (ours.crashed_.size() < limits_.crashesOfSuspect_) {
                ours.crashed_.insert(endpoint);
            }
        }
        ours.isQuarantined_ = ours.isQuarantined_ || theirs.isQuarantined_;
        ours.until_ = std::max(ours.until_, now + std::min(theirs.remaining_, longest));
    }
}

std::size_t Quarantine::size() const
{
    return entries_.size();
}

Quarantine::Entry &Quarantine::entryFor(const RequestDigest &digest, MonotonicTime now)
{
    const auto found = entries_.find(digest);
    if (found != entries_.end() && now < found->second.until_) {
        return found->second;
    }
    if (found != entries_.end()) {
        entries_.erase(found);
    }
    makeRoom(now);
    return entries_[digest];
}

void Quarantine::makeRoom(MonotonicTime now)
{
    if (entries_.size() < limits_.maxEntries_) {
        return;
    }
    std::erase_if(entries_, [now](const auto &entry) { return now >= entry.second.until_; });
    if (entries_.size() < limits_.maxEntries_) {
        return;
    }
    // What is only suspected goes before what is quarantined, and what lapses first goes first.
    const auto weaker = [](const auto &left, const auto &right) {
        const auto &[leftDigest, leftEntry] = left;
        const auto &[rightDigest, rightEntry] = right;
        return std::pair(leftEntry.isQuarantined_, leftEntry.until_) < std::pair(rightEntry.isQuarantined_, rightEntry.until_);
    };
    entries_.erase(std::min_element(entries_.begin(), entries_.end(), weaker));
}

} // namespace cowsliphead

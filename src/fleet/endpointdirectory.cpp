#include "fleet/endpointdirectory.h"

#include <algorithm>
#include <tuple>

namespace cowsliphead
{

namespace
{

std::set<EndpointId> idsOf(const EndpointList &list)
{
    std::set<EndpointId> ids;
    for (const auto &registration : list.registrations_) {
        ids.insert(registration.entry_.id_);
    }
    return ids;
}

} // namespace

bool EndpointDirectory::hasLeft(const EndpointEntry &entry) const
{
    const auto leaving = leaving_.find(entry.id_);
    return leaving != leaving_.end() && entry.incarnation_ <= leaving->second.incarnation_;
}

/// A late write is older than the known entry, or calls an incarnation ready that has announced its leaving.
bool EndpointDirectory::isOutdated(const EndpointEntry &entry) const
{
    if (!entry.isLeaving_ && hasLeft(entry)) {
        return true;
    }
    const auto registration = registrations_.find(entry.id_);
    if (registration == registrations_.end()) {
        return false;
    }
    const auto &known = registration->second.entry_;
    return std::tie(entry.incarnation_, entry.sequence_) < std::tie(known.incarnation_, known.sequence_);
}

void EndpointDirectory::markLeaving(const EndpointEntry &entry)
{
    auto &leaving = leaving_[entry.id_];
    leaving.incarnation_ = std::max(leaving.incarnation_, entry.incarnation_);
    markLeft(entry.id_);
}

void EndpointDirectory::markLeft(const EndpointId &id)
{
    const auto registration = registrations_.find(id);
    if (registration != registrations_.end() && hasLeft(registration->second.entry_)) {
        registration->second.entry_.isLeaving_ = true;
    }
}

/// A store without eras never comes back from a copy.
void EndpointDirectory::recordRemoval(const EndpointRegistration &registration, const StoreRevision &at)
{
    if (at.era_ != 0) {
        removals_[registration.entry_.id_] = { registration.entry_.incarnation_, at, std::nullopt, std::nullopt };
    }
}

/// Returns true if the entry came back with a copy of the store that was made before its removal. What is written after the store's return may have a
/// revision below that of the removal too; it is withheld until the store's counter has passed that one.
bool EndpointDirectory::withhold(const EndpointRegistration &registration)
{
    const auto found = removals_.find(registration.entry_.id_);
    if (found == removals_.end()) {
        return false;
    }
    auto &removal = found->second;
    const bool isFromCopy = registration.since_.era_ > removal.at_.era_ && registration.since_.number_ <= removal.at_.number_;
    if (!isFromCopy || registration.entry_.incarnation_ > removal.incarnation_) {
        removals_.erase(found);
        return false;
    }
    if (!removal.withheld_) {
        removal.forgetAt_.reset();
    }
    removal.withheld_ = registration;
    return true;
}

void EndpointDirectory::dropWithheld(const EndpointId &id, const StoreRevision &at)
{
    const auto found = removals_.find(id);
    if (found != removals_.end() && found->second.withheld_ && found->second.withheld_->since_ <= at) {
        found->second.withheld_.reset();
        found->second.at_ = at;
    }
}

bool EndpointDirectory::releaseWithheld(MonotonicTime now)
{
    bool isChanged = false;
    for (auto item = removals_.begin(); item != removals_.end();) {
        auto &removal = item->second;
        if (!removal.forgetAt_) {
            removal.forgetAt_ = now + (removal.withheld_ ? std::chrono::duration_cast<MonotonicTime::duration>(RestoredEntryLifetime) : LeavingLifetime);
        }
        if (now < *removal.forgetAt_) {
            ++item;
            continue;
        }
        if (removal.withheld_) {
            registrations_[item->first] = *removal.withheld_;
            markLeft(item->first);
            isChanged = true;
        }
        item = removals_.erase(item);
    }
    return isChanged;
}

template <typename Condition>
void EndpointDirectory::removeIf(const StoreRevision &at, Condition isRemoved)
{
    for (auto item = registrations_.begin(); item != registrations_.end();) {
        if (isRemoved(item->second)) {
            recordRemoval(item->second, at);
            item = registrations_.erase(item);
        } else {
            ++item;
        }
    }
}

bool EndpointDirectory::update(const EndpointEntry &entry, const StoreRevision &revision)
{
    if (entry.isLeaving_) {
        markLeaving(entry);
    }
    if (isOutdated(entry) || withhold({ entry, revision, std::nullopt })) {
        return false;
    }
    if (revision > revision_) {
        auto &registration = registrations_[entry.id_];
        const bool hasStood = !registration.since_.isNone() && !registration.keepUntil_;
        registration = { entry, hasStood ? registration.since_ : revision, std::nullopt };
    }
    return true;
}

void EndpointDirectory::remove(const EndpointId &id, const StoreRevision &revision, std::optional<MonotonicTime> keepUntil)
{
    dropWithheld(id, revision);
    const auto found = registrations_.find(id);
    if (found != registrations_.end() && revision > revision_ && !lapse(found->second, keepUntil)) {
        recordRemoval(found->second, revision);
        registrations_.erase(found);
    }
}

void EndpointDirectory::dropUnlisted(const StoreRevision &at, const std::set<EndpointId> &listed)
{
    for (const auto &[id, removal] : removals_) {
        if (!listed.contains(id)) {
            dropWithheld(id, at);
        }
    }
}

/// Returns false if the entry is not to be kept.
bool EndpointDirectory::lapse(EndpointRegistration &registration, std::optional<MonotonicTime> keepUntil)
{
    if (!keepUntil || registration.entry_.isLeaving_) {
        return false;
    }
    if (!registration.keepUntil_) {
        registration.keepUntil_ = keepUntil;
    }
    return true;
}

void EndpointDirectory::replaceAll(const EndpointList &list, std::optional<MonotonicTime> keepUntil)
{
    const auto listed = idsOf(list);
    removeIf(list.revision_, [&](EndpointRegistration &registration) {
        const bool isMissing = registration.since_ <= list.revision_ && !listed.contains(registration.entry_.id_);
        return isMissing && !lapse(registration, keepUntil);
    });
    dropUnlisted(list.revision_, listed);
    const bool isNewest = list.revision_ >= revision_;
    for (const auto &registration : list.registrations_) {
        const auto &entry = registration.entry_;
        if (entry.isLeaving_) {
            markLeaving(entry);
        }
        if (!isNewest) {
            mergeEntry(registration, false);
        } else if (!isOutdated(entry) && !withhold(registration)) {
            registrations_[entry.id_] = { entry, registration.since_, std::nullopt };
        }
    }
    readUpTo(list.revision_);
}

void EndpointDirectory::readUpTo(const StoreRevision &revision)
{
    revision_ = std::max(revision_, revision);
}

void EndpointDirectory::merge(const EndpointList &list)
{
    const auto listed = idsOf(list);
    removeIf(list.revision_,
             [&](const EndpointRegistration &registration) { return registration.since_ <= list.revision_ && !listed.contains(registration.entry_.id_); });
    dropUnlisted(list.revision_, listed);
    for (const auto &registration : list.registrations_) {
        if (registration.entry_.isLeaving_) {
            markLeaving(registration.entry_);
        }
        mergeEntry(registration, list.revision_ >= revision_);
    }
    readUpTo(list.revision_);
}

/// isNewer: the other reader's list is not older than what is known.
void EndpointDirectory::mergeEntry(const EndpointRegistration &other, bool isNewer)
{
    if (other.since_ > revision_) {
        if (withhold(other)) {
            return;
        }
        registrations_[other.entry_.id_] = other;
        markLeft(other.entry_.id_);
        return;
    }
    const auto found = registrations_.find(other.entry_.id_);
    if (found == registrations_.end()) {
        return;
    }
    auto &known = found->second;
    if (known.keepUntil_ && !other.keepUntil_) {
        // The other reader has not learned of the removal yet.
        return;
    }
    if (isNewer) {
        known.entry_ = other.entry_;
    }
    if (!other.keepUntil_) {
        known.since_ = std::max(known.since_, other.since_);
    } else if (isNewer || known.keepUntil_) {
        known.keepUntil_ = std::min(known.keepUntil_.value_or(*other.keepUntil_), *other.keepUntil_);
    }
    markLeft(other.entry_.id_);
}

bool EndpointDirectory::expire(MonotonicTime now)
{
    for (auto &[id, leaving] : leaving_) {
        if (registrations_.contains(id)) {
            leaving.forgetAt_.reset();
        } else if (!leaving.forgetAt_) {
            leaving.forgetAt_ = now + LeavingLifetime;
        }
    }
    std::erase_if(leaving_, [now](const auto &item) { return item.second.forgetAt_ && now >= *item.second.forgetAt_; });
    const auto before = registrations_.size();
    removeIf(revision_, [now](const EndpointRegistration &registration) { return registration.keepUntil_ && now >= *registration.keepUntil_; });
    const bool isAnyRemoved = registrations_.size() != before;
    return releaseWithheld(now) || isAnyRemoved;
}

StoreRevision EndpointDirectory::revision() const
{
    return revision_;
}

bool EndpointDirectory::names(const EndpointList &list) const
{
    return registrations_.size() == list.registrations_.size()
        && std::all_of(list.registrations_.begin(), list.registrations_.end(), [this](const EndpointRegistration &other) {
               const auto known = registrations_.find(other.entry_.id_);
               return known != registrations_.end() && known->second.keepUntil_.has_value() == other.keepUntil_.has_value();
           });
}

EndpointList EndpointDirectory::list() const
{
    EndpointList list{ revision_, {} };
    list.registrations_.reserve(registrations_.size());
    for (const auto &[id, registration] : registrations_) {
        list.registrations_.push_back(registration);
    }
    return list;
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

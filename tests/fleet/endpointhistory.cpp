#include "endpointhistory.h"

#include <algorithm>
#include <optional>
#include <string>

using namespace cowsliphead;

EndpointHistory::EndpointHistory(const std::vector<std::uint8_t> &changes)
{
    constexpr int Endpoints = 3;
    constexpr int Kinds = 4;
    std::map<EndpointId, EndpointEntry> known;
    for (const auto change : changes) {
        const EndpointId id(std::string(1, static_cast<char>('a' + change % Endpoints)));
        auto &entry = known[id];
        entry.id_ = id;
        const auto kind = change / Endpoints % Kinds;
        if (kind == 0) {
            // Another incarnation under the same identifier.
            ++entry.incarnation_;
            entry.isLeaving_ = false;
        } else if (kind == 1) {
            entry.isLeaving_ = true;
        }
        ++entry.sequence_;
        changes_.push_back({ entry, kind == 2 });
        if (kind == 3 && stands(id, lastRevision() - 1)) {
            // A late write of an incarnation that may have announced its leaving.
            changes_.back().entry_.isLeaving_ = false;
        }
    }
}

std::uint64_t EndpointHistory::lastRevision() const
{
    return changes_.size();
}

EndpointList EndpointHistory::listAt(std::uint64_t revision, std::minstd_rand &random) const
{
    std::map<EndpointId, EndpointRegistration> registrations;
    // The reader saw the leaving only of those that announced it after it began to read.
    const std::uint64_t readingSince = random() % revision + 1;
    std::map<EndpointId, std::uint64_t> leavingSeen;
    for (std::uint64_t at = 1; at <= revision; ++at) {
        const auto &change = changes_[at - 1];
        const auto &id = change.entry_.id_;
        if (change.entry_.isLeaving_ && at >= readingSince) {
            leavingSeen[id] = change.entry_.incarnation_;
        }
        const auto leaving = leavingSeen.find(id);
        const bool isLateWrite =
            !change.isRemoval_ && !change.entry_.isLeaving_ && leaving != leavingSeen.end() && leaving->second >= change.entry_.incarnation_;
        if (isLateWrite) {
            continue;
        }
        const auto found = registrations.find(id);
        const bool hasStood = found != registrations.end() && !found->second.keepUntil_;
        if (!change.isRemoval_) {
            // A reader that came later knows the entry from a later write only.
            const bool isSeenFirst = !hasStood || random() % 3 == 0;
            registrations[id] = { change.entry_, isSeenFirst ? at : found->second.since_, std::nullopt };
        } else if (hasStood && !found->second.entry_.isLeaving_ && random() % 2 == 0) {
            found->second.keepUntil_ = KeepUntil;
        } else if (found != registrations.end()) {
            registrations.erase(found);
        }
    }
    EndpointList list{ revision, {} };
    for (const auto &[id, registration] : registrations) {
        list.registrations_.push_back(registration);
    }
    return list;
}

bool EndpointHistory::stands(const EndpointId &id, std::uint64_t revision) const
{
    bool isStanding = false;
    for (std::uint64_t at = 1; at <= revision; ++at) {
        const auto &change = changes_[at - 1];
        isStanding = change.entry_.id_ == id ? !change.isRemoval_ : isStanding;
    }
    return isStanding;
}

std::uint64_t EndpointHistory::removedAt(const EndpointId &id, std::uint64_t revision) const
{
    std::uint64_t removedAt = 0;
    for (std::uint64_t at = 1; at <= revision; ++at) {
        const auto &change = changes_[at - 1];
        removedAt = change.entry_.id_ == id && change.isRemoval_ ? at : removedAt;
    }
    return removedAt;
}

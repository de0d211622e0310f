#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/time.h"
#include "fleet/endpointlist.h"

namespace cowsliphead
{

/// What a gateway knows of the endpoints from the entries that they keep in the store, whichever reader it learned them from.
///
/// Facts are joined: the result depends neither on the order in which they arrive nor on how often. An entry is gone if a list of a later
/// revision lacks it, until one that has stood only since an even later revision is known. An incarnation that announced its leaving stays
/// leaving. A store that came back from a copy may list an entry that was removed before: it is withheld until the store would have removed it again,
/// unless it was written since. Thread safety: owner task only.
class EndpointDirectory
{
public:
    /// How long the leaving of an incarnation is remembered after its entry was removed; no write of it arrives later.
    static constexpr std::chrono::minutes LeavingLifetime{ 10 };

    /// The store removes an entry that comes back with a copy, and that its endpoint does not write any more, within this time.
    static constexpr std::chrono::seconds RestoredEntryLifetime{ 10 };

    /// Applies an entry that was written at a revision. Ignores it and returns false if it is older than what is known, or if its
    /// incarnation has announced its leaving and the entry does not say so: a late write must not make the endpoint usable again.
    bool update(const EndpointEntry &entry, const StoreRevision &revision);

    /// Handles an entry that was removed, or written in a form that cannot be decoded, at a revision. With keepUntil, it may have expired
    /// only because the store was unavailable, and its endpoint stays usable until that time; without it, the endpoint is removed at once.
    /// An endpoint that has announced its leaving is always removed at once.
    void remove(const EndpointId &id, const StoreRevision &revision, std::optional<MonotonicTime> keepUntil);

    /// Takes a full read of the store; keepUntil applies to the missing entries, as in remove().
    void replaceAll(const EndpointList &list, std::optional<MonotonicTime> keepUntil);

    /// All changes up to the revision have been applied.
    void readUpTo(const StoreRevision &revision);

    /// Joins what another reader of the store knows. Entries that it keeps are kept no longer than both allow.
    void merge(const EndpointList &list);

    /// Removes the endpoints that are no longer to be kept, and adds those that are no longer withheld. Returns true if there were any.
    bool expire(MonotonicTime now);

    /// The revision up to which changes are known.
    StoreRevision revision() const;

    /// True if exactly the endpoints of the list are known, and the same ones as kept.
    bool names(const EndpointList &list) const;

    /// All that is known of the entries, in the order of their identifiers.
    EndpointList list() const;

    /// The entries of the endpoints that may be used.
    std::vector<EndpointEntry> entries() const;

private:
    struct Leaving {
        std::uint64_t incarnation_ = 0;

        /// Set once the endpoint has no entry.
        std::optional<MonotonicTime> forgetAt_;
    };

    /// The newest removal of an endpoint's entry.
    struct Removal {
        std::uint64_t incarnation_ = 0;
        StoreRevision at_;

        /// The entry, as a later era lists it.
        std::optional<EndpointRegistration> withheld_;

        /// Set once the entry has been removed, or has been withheld, for a while.
        std::optional<MonotonicTime> forgetAt_;
    };

    static bool lapse(EndpointRegistration &registration, std::optional<MonotonicTime> keepUntil);
    bool isOutdated(const EndpointEntry &entry) const;
    bool hasLeft(const EndpointEntry &entry) const;
    void markLeaving(const EndpointEntry &entry);
    void markLeft(const EndpointId &id);
    void mergeEntry(const EndpointRegistration &other, bool isNewer);
    void recordRemoval(const EndpointRegistration &registration, const StoreRevision &at);
    bool withhold(const EndpointRegistration &registration);
    void dropWithheld(const EndpointId &id, const StoreRevision &at);
    void dropUnlisted(const StoreRevision &at, const std::set<EndpointId> &listed);
    bool releaseWithheld(MonotonicTime now);

    /// Removes the entries for which the condition holds, as of a revision.
    template <typename Condition>
    void removeIf(const StoreRevision &at, Condition isRemoved);

    std::map<EndpointId, EndpointRegistration> registrations_;

    /// The newest incarnation of each endpoint that announced its leaving.
    std::map<EndpointId, Leaving> leaving_;
    std::map<EndpointId, Removal> removals_;
    StoreRevision revision_;
};

} // namespace cowsliphead

#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/result.h"
#include "core/time.h"
#include "store/keyrevision.h"
#include "store/leaseid.h"
#include "store/storeentry.h"
#include "store/storewrite.h"
#include "store/watchanswer.h"

namespace cowsliphead
{

/// In-memory implementation of the platform's key-value service, without sockets. Used by the stand-in and the tests. Like the service, it compares
/// bare numbers; telling eras apart is up to its clients (StoreEraTracker).
/// Thread safety: owner task only.
class MemoryStore
{
public:
    /// Maximum size of a value in bytes.
    static constexpr std::size_t LargestValue = std::size_t(1) << 20U;

    /// Errors: StoreConflict, StoreValueTooLarge, StoreLeaseUnknown.
    Result<StoreRevision> compareAndSwap(const StoreWrite &write, MonotonicTime now);

    /// Returns nothing if the key is absent.
    std::optional<StoreEntry> read(const std::string &key, MonotonicTime now);

    /// Returns at most limit entries whose keys have the prefix and come after the given key, sorted by key.
    std::vector<StoreEntry> list(const std::string &prefix, const std::string &after, std::size_t limit, MonotonicTime now);

    /// Returns the keys with the prefix that were written or erased since the revision, in the order of their last writes. Errors:
    /// StoreHistoryGone if the revision is of another era or has not been given out yet.
    Result<WatchAnswer> changesSince(const std::string &prefix, const StoreRevision &after, MonotonicTime now);

    LeaseId grantLease(std::chrono::milliseconds duration, MonotonicTime now);

    /// Errors: StoreLeaseUnknown if the lease has expired.
    Result<LeaseId> renewLease(const LeaseId &lease, MonotonicTime now);

    /// Revokes the lease and erases its keys. Errors: StoreLeaseUnknown.
    Result<LeaseId> revokeLease(const LeaseId &lease, MonotonicTime now);

    /// Returns when the next lease expires, or nothing if there are no leases.
    std::optional<MonotonicTime> nextExpiry() const;

    /// Removes expired leases and erases their keys.
    void expireLeases(MonotonicTime now);

    /// The revision of the last write.
    StoreRevision revision() const;

    /// Sets the era that a store without one has from now on. Precondition: it has none, and era is above 0.
    void setEra(StoreEra era);

    /// Comes back from a copy of this store that was made earlier, in the next era: what was written since is lost, revisions and leases are given
    /// out again, and each lease runs from now on.
    void restore(const MemoryStore &copy, MonotonicTime now);

private:
    struct Lease {
        std::chrono::milliseconds duration_{ 0 };
        MonotonicTime expiry_;
    };

    struct Slot {
        std::string key_;
        std::string value_;
        std::uint64_t revision_ = 0;
        bool isErased_ = false;
        std::uint64_t lease_ = 0;
    };

    std::uint64_t numberOfKey(const std::string &key) const;
    bool isMet(const KeyRevision &expected) const;
    StoreEntry entryOf(const Slot &slot) const;
    void eraseKeysOf(std::uint64_t lease);
    void applyWrite(const StoreWrite &write);

    std::map<std::string, Slot> slots_;

    /// The keys by the revision of their last write; each key occurs once.
    std::map<std::uint64_t, std::string> keysByRevision_;

    /// As with revisions, the store knows a lease by a bare number.
    std::map<std::uint64_t, Lease> leases_;
    StoreEra era_ = 0;
    std::uint64_t revision_ = 0;
    std::uint64_t nextLease_ = 1;
};

} // namespace cowsliphead

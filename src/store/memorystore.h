#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/result.h"
#include "core/time.h"
#include "store/leaseid.h"
#include "store/storeentry.h"
#include "store/storewrite.h"
#include "store/watchanswer.h"

namespace cowsliphead
{

/// In-memory implementation of the platform's key-value service, without sockets. Used by the stand-in and the tests.
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

    /// Returns the keys with the prefix that were written or erased since the revision, in the order of their last writes.
    WatchAnswer changesSince(const std::string &prefix, StoreRevision after, MonotonicTime now);

    LeaseId grantLease(std::chrono::milliseconds duration, MonotonicTime now);

    /// Errors: StoreLeaseUnknown if the lease has expired.
    Result<LeaseId> renewLease(const LeaseId &lease, MonotonicTime now);

    /// Revokes the lease and erases its keys. Errors: StoreLeaseUnknown.
    Result<LeaseId> revokeLease(const LeaseId &lease, MonotonicTime now);

    /// Returns when the next lease expires, or nothing if there are no leases.
    std::optional<MonotonicTime> nextExpiry() const;

    /// Removes expired leases and erases their keys.
    void expireLeases(MonotonicTime now);

private:
    struct Lease {
        std::chrono::milliseconds duration_{ 0 };
        MonotonicTime expiry_;
    };

    struct Slot {
        StoreEntry entry_;
        LeaseId lease_;
    };

    void eraseKeysOf(const LeaseId &lease);
    void applyWrite(const StoreWrite &write);

    std::map<std::string, Slot> slots_;

    /// The keys by the revision of their last write; each key occurs once.
    std::map<StoreRevision, std::string> keysByRevision_;
    std::map<LeaseId, Lease> leases_;
    StoreRevision revision_ = 0;
    std::uint64_t nextLease_ = 1;
};

} // namespace cowsliphead

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

/// The rules of the platform's key-value service, in memory and without a socket. Part of the stand-in and of the tests.
class MemoryStore
{
public:
    /// The longest value that the service takes.
    static constexpr std::size_t LargestValue = std::size_t(1) << 20U;

    /// Errors: StoreConflict, StoreValueTooLarge, StoreLeaseUnknown. Thread safety: owner task only.
    Result<StoreRevision> compareAndSwap(const StoreWrite &write, MonotonicTime now);

    /// Thread safety: owner task only.
    std::optional<StoreEntry> read(const std::string &key, MonotonicTime now);

    /// Entries whose keys start with the prefix and stand after the given key, in order, at most limit. Thread safety: owner task only.
    std::vector<StoreEntry> list(const std::string &prefix, const std::string &after, std::size_t limit, MonotonicTime now);

    /// Entries and erasures under the prefix since the revision, in the order of their writes. Thread safety: owner task only.
    WatchAnswer changesSince(const std::string &prefix, StoreRevision after, MonotonicTime now);

    /// Thread safety: owner task only.
    LeaseId grantLease(std::chrono::milliseconds duration, MonotonicTime now);

    /// Errors: StoreLeaseUnknown if it has lapsed. Thread safety: owner task only.
    Result<LeaseId> renewLease(const LeaseId &lease, MonotonicTime now);

    /// Erases the lease's keys. Errors: StoreLeaseUnknown. Thread safety: owner task only.
    Result<LeaseId> revokeLease(const LeaseId &lease, MonotonicTime now);

    /// When the next lease lapses; nothing if there is none. Thread safety: owner task only.
    std::optional<MonotonicTime> nextExpiry() const;

    /// Erases the keys of lapsed leases. Thread safety: owner task only.
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
    void put(const StoreWrite &write);

    std::map<std::string, Slot> slots_;

    /// The key that each write since the start touched last; an overwritten one stands only at its newest write.
    std::map<StoreRevision, std::string> order_;
    std::map<LeaseId, Lease> leases_;
    StoreRevision revision_ = 0;
    std::uint64_t nextLease_ = 1;
};

} // namespace cowsliphead

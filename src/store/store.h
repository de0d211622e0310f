#pragma once

#include <chrono>
#include <concepts>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "store/leaseid.h"
#include "store/storeentry.h"
#include "store/storereply.h"
#include "store/storewrite.h"
#include "store/watchanswer.h"

namespace cowsliphead
{

/// Interface of the platform's key-value service. Each call is answered exactly once, in a later iteration of the caller's event loop.
///
/// era() is the newest era that an answer has told. Revisions and leases name the era of the answer that told them. A watch from a revision of
/// another era fails with StoreHistoryGone, a write that relies on one with StoreConflict or StoreLeaseUnknown; the latter may have taken effect if
/// the client learned of the new era only from the answer.
template <typename T>
concept Store = requires(T &store,
                         StoreWrite write,
                         std::string key,
                         StoreRevision after,
                         std::size_t limit,
                         std::chrono::milliseconds duration,
                         LeaseId lease,
                         StoreReply<StoreRevision> written,
                         StoreReply<std::optional<StoreEntry>> read,
                         StoreReply<std::vector<StoreEntry>> listed,
                         StoreReply<WatchAnswer> watched,
                         StoreReply<LeaseId> leased)
{
    store.compareAndSwap(write, written);
    store.read(key, read);
    store.list(key, key, limit, listed);
    store.watch(key, after, duration, watched);
    store.grantLease(duration, leased);
    store.renewLease(lease, leased);
    store.revokeLease(lease, leased);
    {
        store.era()
        } -> std::same_as<StoreEra>;
};

} // namespace cowsliphead

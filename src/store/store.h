#pragma once

#include <chrono>
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

/// The platform's key-value service as the system uses it. Each call is answered once, in a later turn of the caller's loop.
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
};

} // namespace cowsliphead

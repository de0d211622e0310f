#include "store/memorystore.h"

#include <algorithm>

#include "core/errorcode.h"

namespace cowsliphead
{

Result<StoreRevision> MemoryStore::compareAndSwap(const StoreWrite &write, MonotonicTime now)
{
    expireLeases(now);
    if (write.value_.size() > LargestValue) {
        return failure(ErrorCode::StoreValueTooLarge);
    }
    if (!write.lease_.isEmpty() && !leases_.contains(write.lease_)) {
        return failure(ErrorCode::StoreLeaseUnknown);
    }
    const auto found = slots_.find(write.key_);
    const bool isPresent = found != slots_.end() && !found->second.entry_.isErased_;
    const StoreRevision current = isPresent ? found->second.entry_.revision_ : 0;
    if (current != write.expectedRevision_) {
        return failure(ErrorCode::StoreConflict);
    }
    applyWrite(write);
    return revision_;
}

std::optional<StoreEntry> MemoryStore::read(const std::string &key, MonotonicTime now)
{
    expireLeases(now);
    const auto found = slots_.find(key);
    if (found == slots_.end() || found->second.entry_.isErased_) {
        return std::nullopt;
    }
    return found->second.entry_;
}

std::vector<StoreEntry> MemoryStore::list(const std::string &prefix, const std::string &after, std::size_t limit, MonotonicTime now)
{
    expireLeases(now);
    std::vector<StoreEntry> found;
    auto slot = after < prefix ? slots_.lower_bound(prefix) : slots_.upper_bound(after);
    for (; slot != slots_.end() && slot->first.starts_with(prefix) && found.size() < limit; ++slot) {
        if (!slot->second.entry_.isErased_) {
            found.push_back(slot->second.entry_);
        }
    }
    return found;
}

WatchAnswer MemoryStore::changesSince(const std::string &prefix, StoreRevision after, MonotonicTime now)
{
    expireLeases(now);
    WatchAnswer answer;
    answer.revision_ = revision_;
    for (auto written = keysByRevision_.upper_bound(after); written != keysByRevision_.end(); ++written) {
        if (written->second.starts_with(prefix)) {
            answer.entries_.push_back(slots_.at(written->second).entry_);
        }
    }
    return answer;
}

LeaseId MemoryStore::grantLease(std::chrono::milliseconds duration, MonotonicTime now)
{
    expireLeases(now);
    LeaseId lease(std::to_string(nextLease_++));
    leases_[lease] = Lease{ duration, now + duration };
    return lease;
}

Result<LeaseId> MemoryStore::renewLease(const LeaseId &lease, MonotonicTime now)
{
    expireLeases(now);
    const auto found = leases_.find(lease);
    if (found == leases_.end()) {
        return failure(ErrorCode::StoreLeaseUnknown);
    }
    found->second.expiry_ = now + found->second.duration_;
    return lease;
}

Result<LeaseId> MemoryStore::revokeLease(const LeaseId &lease, MonotonicTime now)
{
    expireLeases(now);
    if (leases_.erase(lease) == 0) {
        return failure(ErrorCode::StoreLeaseUnknown);
    }
    eraseKeysOf(lease);
    return lease;
}

std::optional<MonotonicTime> MemoryStore::nextExpiry() const
{
    const auto earliest =
        std::min_element(leases_.begin(), leases_.end(), [](const auto &left, const auto &right) { return left.second.expiry_ < right.second.expiry_; });
    return earliest == leases_.end() ? std::nullopt : std::optional(earliest->second.expiry_);
}

void MemoryStore::expireLeases(MonotonicTime now)
{
    for (auto lease = leases_.begin(); lease != leases_.end();) {
        if (lease->second.expiry_ > now) {
            ++lease;
            continue;
        }
        eraseKeysOf(lease->first);
        lease = leases_.erase(lease);
    }
}

void MemoryStore::eraseKeysOf(const LeaseId &lease)
{
    for (auto &[key, slot] : slots_) {
        if (slot.lease_ == lease && !slot.entry_.isErased_) {
            StoreWrite erase;
            erase.key_ = key;
            erase.isErase_ = true;
            applyWrite(erase);
        }
    }
}

void MemoryStore::applyWrite(const StoreWrite &write)
{
    auto &slot = slots_[write.key_];
    keysByRevision_.erase(slot.entry_.revision_);
    ++revision_;
    keysByRevision_[revision_] = write.key_;
    slot.entry_ = StoreEntry{ write.key_, write.isErase_ ? std::string() : write.value_, revision_, write.isErase_ };
    slot.lease_ = write.isErase_ ? LeaseId() : write.lease_;
}

} // namespace cowsliphead

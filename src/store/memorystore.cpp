#include "store/memorystore.h"

#include <algorithm>

#include "core/errorcode.h"

namespace cowsliphead
{

std::uint64_t MemoryStore::numberOfKey(const std::string &key) const
{
    const auto found = slots_.find(key);
    return found == slots_.end() || found->second.isErased_ ? 0 : found->second.revision_;
}

bool MemoryStore::isMet(const KeyRevision &expected) const
{
    return numberOfKey(expected.key_) == expected.revision_.number_;
}

StoreEntry MemoryStore::entryOf(const Slot &slot) const
{
    return { slot.key_, slot.value_, { era_, slot.revision_ }, slot.isErased_ };
}

Result<StoreRevision> MemoryStore::compareAndSwap(const StoreWrite &write, MonotonicTime now)
{
    expireLeases(now);
    if (write.value_.size() > LargestValue) {
        return failure(ErrorCode::StoreValueTooLarge);
    }
    if (!write.lease_.isEmpty() && !leases_.contains(numberOf(write.lease_))) {
        return failure(ErrorCode::StoreLeaseUnknown);
    }
    const bool isExpected = isMet({ write.key_, write.expectedRevision_ });
    if (!isExpected || !std::all_of(write.guards_.begin(), write.guards_.end(), [this](const KeyRevision &guard) { return isMet(guard); })) {
        return failure(ErrorCode::StoreConflict);
    }
    applyWrite(write);
    return revision();
}

std::optional<StoreEntry> MemoryStore::read(const std::string &key, MonotonicTime now)
{
    expireLeases(now);
    if (numberOfKey(key) == 0) {
        return std::nullopt;
    }
    return entryOf(slots_.at(key));
}

std::vector<StoreEntry> MemoryStore::list(const std::string &prefix, const std::string &after, std::size_t limit, MonotonicTime now)
{
    expireLeases(now);
    std::vector<StoreEntry> found;
    auto slot = after < prefix ? slots_.lower_bound(prefix) : slots_.upper_bound(after);
    for (; slot != slots_.end() && slot->first.starts_with(prefix) && found.size() < limit; ++slot) {
        if (!slot->second.isErased_) {
            found.push_back(entryOf(slot->second));
        }
    }
    return found;
}

Result<WatchAnswer> MemoryStore::changesSince(const std::string &prefix, const StoreRevision &after, MonotonicTime now)
{
    expireLeases(now);
    if ((!after.isNone() && after.era_ != era_) || after.number_ > revision_) {
        return failure(ErrorCode::StoreHistoryGone);
    }
    WatchAnswer answer;
    answer.revision_ = revision();
    for (auto written = keysByRevision_.upper_bound(after.number_); written != keysByRevision_.end(); ++written) {
        if (written->second.starts_with(prefix)) {
            answer.entries_.push_back(entryOf(slots_.at(written->second)));
        }
    }
    return answer;
}

LeaseId MemoryStore::grantLease(std::chrono::milliseconds duration, MonotonicTime now)
{
    expireLeases(now);
    const auto lease = nextLease_++;
    leases_[lease] = Lease{ duration, now + duration };
    return leaseIdOf(era_, lease);
}

Result<LeaseId> MemoryStore::renewLease(const LeaseId &lease, MonotonicTime now)
{
    expireLeases(now);
    const auto found = leases_.find(numberOf(lease));
    if (found == leases_.end()) {
        return failure(ErrorCode::StoreLeaseUnknown);
    }
    found->second.expiry_ = now + found->second.duration_;
    return leaseIdOf(era_, found->first);
}

Result<LeaseId> MemoryStore::revokeLease(const LeaseId &lease, MonotonicTime now)
{
    expireLeases(now);
    const auto number = numberOf(lease);
    if (leases_.erase(number) == 0) {
        return failure(ErrorCode::StoreLeaseUnknown);
    }
    eraseKeysOf(number);
    return leaseIdOf(era_, number);
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

StoreRevision MemoryStore::revision() const
{
    return { era_, revision_ };
}

void MemoryStore::setEra(StoreEra era)
{
    era_ = era;
}

void MemoryStore::restore(const MemoryStore &copy, MonotonicTime now)
{
    const auto era = era_ + 1;
    *this = copy;
    era_ = era;
    for (auto &[number, lease] : leases_) {
        lease.expiry_ = now + lease.duration_;
    }
}

void MemoryStore::eraseKeysOf(std::uint64_t lease)
{
    for (auto &[key, slot] : slots_) {
        if (slot.lease_ == lease && !slot.isErased_) {
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
    keysByRevision_.erase(slot.revision_);
    ++revision_;
    keysByRevision_[revision_] = write.key_;
    slot = Slot{ write.key_, write.isErase_ ? std::string() : write.value_, revision_, write.isErase_, write.isErase_ ? 0 : numberOf(write.lease_) };
}

} // namespace cowsliphead

#include "decide/claimtable.h"

#include <utility>

#include "decide/claimend.h"
#include "decide/claimrequest.h"

namespace cowsliphead
{

namespace
{

/// Upper bound for the numbers, digests and punctuation of one entry, in bytes.
constexpr std::size_t MaxFixedPartBytes = 120;

/// An escaped control character takes six bytes.
constexpr std::size_t MaxEscapeBytes = 6;

std::size_t sizeOf(const ClaimEntry &entry)
{
    auto size = MaxFixedPartBytes + entry.owner_.incarnation_.size();
    if (entry.answer_) {
        size += MaxEscapeBytes * (entry.answer_->contentType_.size() + entry.answer_->body_.size());
    }
    return size;
}

bool wasReceivedAfterRelease(const ClaimRequest &request, const ClaimEntry &entry, const ClaimLimits &limits)
{
    const bool isSameClock = request.owner_.incarnation_ == entry.owner_.incarnation_;
    return request.receivedAt_ > entry.since_ + (isSameClock ? std::chrono::milliseconds(0) : limits.maxClockSkew_);
}

bool isFree(const ClaimRequest &request, const ClaimEntry &entry, const ClaimLimits &limits, bool checksReleaseTime)
{
    return entry.state_ == ClaimState::Released && (!checksReleaseTime || wasReceivedAfterRelease(request, entry, limits));
}

ClaimVerdictKind refusal(const ClaimRequest &request, const ClaimEntry &entry)
{
    if (entry.state_ != ClaimState::Released && entry.fingerprint_ != request.fingerprint_) {
        return entry.state_ == ClaimState::Completed ? ClaimVerdictKind::Reused : ClaimVerdictKind::ReusedInProgress;
    }
    return entry.answer_ ? ClaimVerdictKind::Replayed : ClaimVerdictKind::InUse;
}

} // namespace

ClaimTable::ClaimTable(Entries entries)
    : entries_(std::move(entries))
{
    for (const auto &[key, entry] : entries_) {
        size_ += sizeOf(entry);
    }
}

ClaimVerdictKind ClaimTable::claim(const ClaimRequest &request, WallTime now, const ClaimLimits &limits, bool checksReleaseTime)
{
    const auto found = entries_.find(request.key_);
    const bool isKnown = found != entries_.end();
    if (isKnown && found->second.owner_ == request.owner_) {
        return found->second.state_ == ClaimState::Claimed ? ClaimVerdictKind::Granted : ClaimVerdictKind::InUse;
    }
    if (isKnown && !isFree(request, found->second, limits, checksReleaseTime)) {
        return refusal(request, found->second);
    }
    ClaimEntry entry{ request.fingerprint_, request.owner_, ClaimState::Claimed, now, std::nullopt };
    const auto size = size_ + sizeOf(entry) - (isKnown ? sizeOf(found->second) : 0);
    if (size > limits.maxTableBytes_) {
        return ClaimVerdictKind::Full;
    }
    size_ = size;
    entries_.insert_or_assign(request.key_, std::move(entry));
    return ClaimVerdictKind::Granted;
}

bool ClaimTable::end(const ClaimEnd &end, const ClaimLimits &limits)
{
    const auto found = entries_.find(end.key_);
    if (found == entries_.end() || found->second.owner_ != end.owner_ || found->second.state_ != ClaimState::Claimed) {
        return false;
    }
    auto &entry = found->second;
    size_ -= sizeOf(entry);
    entry.state_ = end.hasRun_ ? ClaimState::Completed : ClaimState::Released;
    entry.since_ = end.endedAt_;
    if (end.hasRun_ && size_ < limits.maxTableBytesWithAnswers_) {
        entry.answer_ = end.answer_;
    }
    size_ += sizeOf(entry);
    return true;
}

void ClaimTable::removeExpired(WallTime now, const ClaimLimits &limits)
{
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        if (entry->second.since_ + limits.retention_ > now) {
            ++entry;
            continue;
        }
        size_ -= sizeOf(entry->second);
        entry = entries_.erase(entry);
    }
}

const ClaimEntry *ClaimTable::find(const ClaimKey &key) const
{
    const auto found = entries_.find(key);
    return found == entries_.end() ? nullptr : &found->second;
}

const ClaimTable::Entries &ClaimTable::entries() const
{
    return entries_;
}

std::size_t ClaimTable::size() const
{
    return size_;
}

} // namespace cowsliphead

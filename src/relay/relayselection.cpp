#include "relay/relayselection.h"

#include <algorithm>
#include <utility>

namespace cowsliphead
{

RelaySelection::RelaySelection(GatewayMember self, std::chrono::milliseconds silenceTimeout, std::uint64_t seed)
    : self_(std::move(self))
    , silenceTimeout_(silenceTimeout)
    , random_(static_cast<std::minstd_rand::result_type>(seed))
{
}

RelayStatus RelaySelection::status(MonotonicTime now) const
{
    RelayStatus status;
    status.isRelay_ = role_ == RelayRole::Relay;
    status.isFit_ = status.isRelay_ && store_ == StoreState::Reachable;
    status.isStoreLost_ = status.isRelay_ && store_ == StoreState::Unreachable;
    status.isLeaving_ = isLeaving_;
    if (role_ == RelayRole::Member && isTargetHealthy(now)) {
        status.redirect_ = target_;
    }
    return status;
}

std::chrono::milliseconds RelaySelection::randomUpTo(std::chrono::milliseconds limit)
{
    return std::chrono::milliseconds(std::uniform_int_distribution<std::chrono::milliseconds::rep>(0, limit.count())(random_));
}

std::chrono::milliseconds RelaySelection::dwell() const
{
    if (role_ == RelayRole::Relay && failures_ > 1) {
        // The members of a relay that lost the store look for another one too; it need not be the first to find it.
        return MaxDwell;
    }
    constexpr int MaxDoublings = 3;
    const auto doublings = std::clamp(failures_ - 1, 0, MaxDoublings);
    return std::min(MinDwell * (1 << doublings), MaxDwell);
}

bool RelaySelection::isSearching() const
{
    return role_ == RelayRole::Member && !wasFit_ && failures_ >= MaxFailures;
}

/// A silent relay that another gateway vouches for is asked once more at once: a single answer may have been lost, or a cut has healed.
bool RelaySelection::mayFollow(const PeerAddress &redirect, MonotonicTime now) const
{
    const auto found = failed_.find(redirect);
    if (found == failed_.end() || now - found->second.at_ >= RedirectMemory) {
        return true;
    }
    return found->second.isSilent_ && vouchedFor_ != redirect;
}

bool RelaySelection::isTargetHealthy(MonotonicTime now) const
{
    return target_ && wasFit_ && now - answeredAt_ < VouchTime;
}

void RelaySelection::setTarget(const PeerAddress &address, MonotonicTime now)
{
    target_ = address;
    answeredAt_ = now;
    chosenAt_ = now;
    wasFit_ = false;
}

void RelaySelection::follow(const PeerAddress &address, MonotonicTime now)
{
    role_ = RelayRole::Member;
    writeRevision_.reset();
    setTarget(address, now);
}

void RelaySelection::becomeRelay(MonotonicTime now)
{
    role_ = RelayRole::Relay;
    target_.reset();
    store_ = StoreState::Unknown;
    wasFit_ = false;
    nextCallAt_ = now;
    backoff_ = MinBackoff;
}

void RelaySelection::update(MonotonicTime now)
{
    std::erase_if(failed_, [now](const auto &item) { return now - item.second.at_ > FailureMemory; });
    if (target_ && now - answeredAt_ >= silenceTimeout_) {
        targetFailed(true, now);
    } else if (target_ && !wasFit_ && now - chosenAt_ >= dwell()) {
        targetFailed(false, now);
    } else if (!target_ && store_ == StoreState::Unreachable && role_ == RelayRole::Relay && now >= searchAt_) {
        chooseCandidate(now);
    }
}

void RelaySelection::targetFailed(bool isSilent, MonotonicTime now)
{
    failed_[*target_] = { now, isSilent };
    unusable_ = target_;
    ++failures_;
    silentFailures_ += isSilent ? 1 : 0;
    if (role_ == RelayRole::Member && failures_ == MaxFailures) {
        backoff_ = MinBackoff;
        nextCallAt_ = now + randomUpTo(MaxStartDelay);
    }
    target_.reset();
    if (role_ == RelayRole::Member) {
        chooseCandidate(now);
        return;
    }
    // A relay asked the one that the entry names, or another one because the store does not answer it.
    nextCallAt_ = std::min(nextCallAt_, now);
    if (store_ == StoreState::Unreachable) {
        chooseCandidate(now);
    }
}

void RelaySelection::chooseCandidate(MonotonicTime now)
{
    const bool isMember = role_ == RelayRole::Member;
    if (isMember && silentFailures_ >= MaxSilent) {
        becomeRelay(now);
        return;
    }
    const auto isCandidate = [this](const GatewayMember &member) {
        return member.address_ == self_.address_ ? role_ == RelayRole::Member : !failed_.contains(member.address_);
    };
    if (isMember || !storeAwaySince_) {
        const auto next = std::find_if(members_.begin(), members_.end(), isCandidate);
        if (next != members_.end() && next->address_ != self_.address_) {
            setTarget(next->address_, now);
            return;
        }
    } else if (const auto last = std::find_if(members_.rbegin(), members_.rend(), isCandidate); last != members_.rend()) {
        // The first ones in the order have been tried by the members; the last ones most likely know a relay that is fit by now.
        setTarget(last->address_, now);
        return;
    }
    if (!isMember) {
        return;
    }
    if (members_.empty()) {
        // Known to nobody yet: the store's entry decides who becomes a relay, so that not all of a starting fleet do.
        role_ = RelayRole::Undecided;
        nextCallAt_ = now + randomUpTo(MaxStartDelay);
        return;
    }
    becomeRelay(now);
}

RelayStep RelaySelection::nextStep(MonotonicTime now)
{
    const bool needsStore = role_ != RelayRole::Member || isSearching();
    const bool isDue = !isCallPending_ && now >= nextCallAt_ && needsStore && !isLeaving_;
    if (!isDue) {
        return {};
    }
    isCallPending_ = true;
    if (writeRevision_) {
        return { RelayStep::Kind::WriteEntry, *writeRevision_ };
    }
    return { RelayStep::Kind::ReadEntries, {} };
}

void RelaySelection::entriesRead(const std::vector<RelayEntry> &entries, MonotonicTime now)
{
    isCallPending_ = false;
    backoff_ = MinBackoff;
    if (role_ == RelayRole::Member) {
        if (isSearching()) {
            becomeRelay(now);
        }
        return;
    }
    const auto own = std::find_if(entries.begin(), entries.end(), [this](const RelayEntry &entry) { return entry.relay_.domain_ == self_.domain_; });
    handleOwnEntry(own == entries.end() ? std::nullopt : std::optional<RelayEntry>(*own), now);
}

void RelaySelection::handleOwnEntry(const std::optional<RelayEntry> &entry, MonotonicTime now)
{
    nextCallAt_ = now + CheckInterval - CheckInterval / 8 + randomUpTo(CheckInterval / 4);
    const bool namesOther = entry && entry->relay_.address_ != self_.address_;
    if (entry && entry->relay_.incarnation_ == self_.incarnation_) {
        return;
    }
    if (namesOther && vouchedFor_ == entry->relay_.address_ && failed_.contains(entry->relay_.address_)) {
        // The others have no trouble with their relay.
        return;
    }
    if (namesOther && !failed_.contains(entry->relay_.address_)) {
        if (role_ == RelayRole::Undecided) {
            follow(entry->relay_.address_, now);
        } else if (!target_) {
            // Yields to the other relay once that answers and is fit.
            setTarget(entry->relay_.address_, now);
        }
        return;
    }
    if (!entry && role_ == RelayRole::Undecided && !std::exchange(wasEntryAbsent_, true)) {
        // The whole fleet may be starting; the first gateway to write the entry is the relay.
        nextCallAt_ = now + randomUpTo(MaxStartDelay);
        return;
    }
    writeRevision_ = entry ? entry->revision_ : StoreRevision();
    nextCallAt_ = now;
}

void RelaySelection::entryWritten(MonotonicTime now)
{
    isCallPending_ = false;
    writeRevision_.reset();
    if (role_ == RelayRole::Undecided) {
        becomeRelay(now);
    }
    nextCallAt_ = now + CheckInterval;
}

void RelaySelection::entryConflict(MonotonicTime now)
{
    isCallPending_ = false;
    writeRevision_.reset();
    nextCallAt_ = now + randomUpTo(MaxConflictDelay);
}

void RelaySelection::storeUnavailable(MonotonicTime now)
{
    isCallPending_ = false;
    // A write without an answer may have taken effect, so the entry is read again.
    writeRevision_.reset();
    nextCallAt_ = now + backoff_ / 2 + randomUpTo(backoff_);
    backoff_ = std::min(backoff_ * 2, MaxBackoff);
}

void RelaySelection::answered(const PeerAddress &from, const RelayStatus &status, MonotonicTime now)
{
    if (!target_ || from != *target_) {
        return;
    }
    answeredAt_ = now;
    if (status.isStoreLost_ && !storeAwaySince_) {
        storeAwaySince_ = fitAt_;
    }
    if (status.isLeaving_) {
        targetFailed(false, now);
    } else if (status.isFit_) {
        wasFit_ = true;
        fitAt_ = now;
        storeAwaySince_.reset();
        failures_ = 0;
        silentFailures_ = 0;
        failed_.clear();
        unusable_.reset();
        vouchedFor_.reset();
        role_ = RelayRole::Member;
        writeRevision_.reset();
    } else if (status.redirect_ && *status.redirect_ == self_.address_) {
        failed_[from] = { now, false };
        becomeRelay(now);
    } else if (status.redirect_ && mayFollow(*status.redirect_, now)) {
        if (failed_.contains(*status.redirect_)) {
            vouchedFor_ = status.redirect_;
        }
        setTarget(*status.redirect_, now);
    } else if (wasFit_) {
        // Left at once, since the time after which an endpoint's leaving is known is bounded.
        targetFailed(false, now);
    }
}

void RelaySelection::queried(const std::optional<PeerAddress> &unusable, MonotonicTime now)
{
    if (role_ == RelayRole::Relay || isLeaving_) {
        return;
    }
    if (role_ == RelayRole::Member && isTargetHealthy(now)) {
        return;
    }
    if (target_ && unusable == target_) {
        failed_[*target_] = { now, true };
        unusable_ = target_;
    }
    becomeRelay(now);
}

void RelaySelection::setStoreReachable(bool isReachable, MonotonicTime now)
{
    const auto state = isReachable ? StoreState::Reachable : StoreState::Unreachable;
    if (role_ != RelayRole::Relay || std::exchange(store_, state) == state) {
        return;
    }
    if (isReachable) {
        target_.reset();
        failures_ = 0;
        silentFailures_ = 0;
        fitAt_ = now;
        storeAwaySince_.reset();
        return;
    }
    unusable_ = self_.address_;
    ++failures_;
    // If the relay before had lost the store too, the members already go on to the next gateway.
    searchAt_ = storeAwaySince_ ? now + SearchDelay : now;
    update(now);
}

void RelaySelection::setMembers(std::vector<GatewayMember> members)
{
    members_ = std::move(members);
}

void RelaySelection::mergeMembers(const std::vector<GatewayMember> &members)
{
    for (const auto &member : members) {
        std::erase_if(members_, [&member](const GatewayMember &known) { return known.address_ == member.address_; });
        members_.push_back(member);
    }
    std::sort(members_.begin(), members_.end());
}

void RelaySelection::leave()
{
    isLeaving_ = true;
}

} // namespace cowsliphead

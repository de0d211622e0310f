#include "decide/crashregister.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace cowsliphead
{

bool CrashRegister::isEmpty() const
{
    return entries_.empty();
}

CrashCount CrashRegister::countOf(const RequestDigest &digest, MonotonicTime now) const
{
    const auto found = entries_.find(digest);
    return found == entries_.end() || now >= found->second.until_ ? CrashCount{} : found->second.count_;
}

std::optional<std::chrono::milliseconds> CrashRegister::quarantineLeft(const RequestDigest &digest, MonotonicTime now) const
{
    if (countOf(digest, now).crashes_ < QuarantineThreshold) {
        return std::nullopt;
    }
    return std::chrono::ceil<std::chrono::milliseconds>(entries_.at(digest).until_ - now);
}

void CrashRegister::crashed(const RequestDigest &digest, CrashCount atDispatch, MonotonicTime now)
{
    const auto known = countOf(digest, now);
    // A dispatch from before the last answer counts as the first crash after it.
    const auto crashes = atDispatch.generation_ == known.generation_ ? atDispatch.crashes_ + 1 : 1;
    raise(digest, { known.generation_, crashes }, CountLifetime, now);
}

void CrashRegister::survived(const RequestDigest &digest, MonotonicTime now)
{
    const auto known = countOf(digest, now);
    if (known.crashes_ > 0) {
        raise(digest, { known.generation_ + 1, known.crashes_ - 1 }, CountLifetime, now);
    }
}

void CrashRegister::answered(const RequestDigest &digest, MonotonicTime now)
{
    const auto known = countOf(digest, now);
    if (known.crashes_ > 0) {
        raise(digest, { known.generation_ + 1, 0 }, CountLifetime, now);
    }
}

void CrashRegister::merge(const std::vector<CrashReport> &reports, MonotonicTime now)
{
    for (const auto &report : reports) {
        raise(report.digest_, report.count_, std::min<std::chrono::milliseconds>(report.remaining_, CountLifetime), now);
    }
}

std::uint64_t CrashRegister::version() const
{
    return version_;
}

std::vector<CrashReport> CrashRegister::changesAfter(std::uint64_t version, MonotonicTime now) const
{
    std::vector<CrashReport> reports;
    for (auto change = changes_.upper_bound(version); change != changes_.end(); ++change) {
        const auto &entry = entries_.at(change->second);
        if (now < entry.until_) {
            reports.push_back({ change->second, entry.count_, std::chrono::ceil<std::chrono::milliseconds>(entry.until_ - now) });
        }
    }
    return reports;
}

CrashChanges CrashRegister::changesFor(std::uint64_t version, MonotonicTime now) const
{
    CrashChanges changes{ {}, version_ };
    for (auto change = changes_.upper_bound(version); change != changes_.end(); ++change) {
        const auto &entry = entries_.at(change->second);
        const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(entry.until_ - now);
        const bool isRecent = CountLifetime - remaining <= RecentTime;
        if (remaining.count() <= 0 || (entry.count_.crashes_ <= 1 && !isRecent)) {
            continue;
        }
        if (changes.reports_.size() == MaxReports) {
            changes.version_ = std::prev(change)->first;
            break;
        }
        changes.reports_.push_back({ change->second, entry.count_, remaining });
    }
    return changes;
}

/// Does nothing if the known count is not smaller.
void CrashRegister::raise(const RequestDigest &digest, CrashCount count, std::chrono::milliseconds remaining, MonotonicTime now)
{
    if (count <= countOf(digest, now) || remaining.count() <= 0) {
        return;
    }
    if (!entries_.contains(digest)) {
        makeRoom(now);
    }
    auto &entry = entries_[digest];
    changes_.erase(entry.version_);
    entry = { count, now + remaining, ++version_ };
    changes_[version_] = digest;
}

/// Removes expired counts, and if there are none the one with the fewest crashes, among equals the oldest.
void CrashRegister::makeRoom(MonotonicTime now)
{
    if (entries_.size() < MaxCounts) {
        return;
    }
    const auto isExpired = [now](const auto &item) { return now >= item.second.until_; };
    std::erase_if(changes_, [&](const auto &change) { return isExpired(*entries_.find(change.second)); });
    std::erase_if(entries_, isExpired);
    if (entries_.size() < MaxCounts) {
        return;
    }
    const auto least = std::min_element(entries_.begin(), entries_.end(), [](const auto &left, const auto &right) {
        return std::tie(left.second.count_.crashes_, left.second.until_) < std::tie(right.second.count_.crashes_, right.second.until_);
    });
    changes_.erase(least->second.version_);
    entries_.erase(least);
}

} // namespace cowsliphead

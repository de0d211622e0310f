#include "decide/crashevidence.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cowsliphead
{

CrashEvidence::CrashEvidence(SuspectKey suspect, std::vector<const CrashRecord *> records, bool wasAnswered)
    : suspect_(suspect)
    , records_(std::move(records))
    , wasAnswered_(wasAnswered)
{
    std::stable_sort(records_.begin(), records_.end(), [](const auto *left, const auto *right) { return left->crashedAt_ < right->crashedAt_; });
    for (const auto *record : records_) {
        endpoints_.insert(record->endpoint_);
    }
}

bool CrashEvidence::suffices(const std::set<IncarnationKey> &explained) const
{
    const bool isKnownPart = wasAnswered_ && !records_.empty() && isPart();
    return crashedApart(explained) || (!isKnownPart && crashesInARow(explained) >= BlamedInARow);
}

bool CrashEvidence::isSuspected() const
{
    return crashesInARow() >= SuspectedInARow || suffices();
}

bool CrashEvidence::crashedApart(const std::set<IncarnationKey> &explained) const
{
    auto endpoints = explained;
    std::set<SuspectKey> requests;
    const CrashRecord *last = nullptr;
    std::size_t crashes = 0;
    for (const auto *record : records_) {
        if (record->request_ == suspect_ || explained.contains(record->endpoint_)) {
            continue;
        }
        requests.insert(record->request_);
        const bool isApart = last == nullptr || record->crashedAt_ - last->crashedAt_ >= SeparateMoments;
        if (isApart && endpoints.insert(record->endpoint_).second) {
            last = record;
            ++crashes;
        }
    }
    return crashes >= BlamedApart && requests.size() > 1;
}

std::size_t CrashEvidence::crashesInARow(const std::set<IncarnationKey> &explained) const
{
    auto endpoints = explained;
    std::set<SuspectKey> requests;
    const CrashRecord *last = nullptr;
    std::size_t crashes = 0;
    for (const auto *record : records_) {
        const bool isPart = record->request_ != suspect_;
        const bool isLater = last == nullptr || record->writtenAt_ >= last->crashedAt_;
        if (isLater && !endpoints.contains(record->endpoint_) && !(isPart && requests.contains(record->request_))) {
            endpoints.insert(record->endpoint_);
            requests.insert(record->request_);
            last = record;
            ++crashes;
        }
    }
    return crashes;
}

bool CrashEvidence::isLikelierThan(const CrashEvidence &other) const
{
    const auto rank = [](const CrashEvidence &evidence) {
        return std::tuple(!evidence.wasAnswered_, evidence.endpoints_.size(), evidence.depth(), evidence.suspect_);
    };
    return rank(*this) > rank(other);
}

std::size_t CrashEvidence::depth() const
{
    if (records_.empty()) {
        return 0;
    }
    const auto &parts = records_.front()->parts_;
    return static_cast<std::size_t>(std::find(parts.begin(), parts.end(), suspect_) - parts.begin());
}

} // namespace cowsliphead

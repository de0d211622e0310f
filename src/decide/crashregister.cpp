#include "decide/crashregister.h"

#include <algorithm>
#include <iterator>

#include "decide/blamedsuspects.h"

namespace cowsliphead
{

namespace
{

std::chrono::milliseconds millisecondsBetween(MonotonicTime from, MonotonicTime to)
{
    return std::max(std::chrono::milliseconds(0), std::chrono::duration_cast<std::chrono::milliseconds>(to - from));
}

} // namespace

bool CrashRegister::isEmpty() const
{
    return crashes_.empty();
}

std::optional<CrashVerdict> CrashRegister::verdictOn(const CrashSuspects &suspects, MonotonicTime now) const
{
    std::optional<CrashVerdict> longest;
    const auto consider = [&](SuspectKey suspect) {
        const auto verdict = verdicts_.find(suspect);
        if (verdict == verdicts_.end() || !verdict->second.isQuarantined_ || now >= verdict->second.until_) {
            return;
        }
        const auto &alternatives = verdict->second.alternatives_;
        const bool hasAll = std::all_of(alternatives.begin(), alternatives.end(), [&suspects](SuspectKey part) {
            return std::find(suspects.parts_.begin(), suspects.parts_.end(), part) != suspects.parts_.end();
        });
        if (!hasAll) {
            return;
        }
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(verdict->second.until_ - now);
        if (!longest || left > longest->left_) {
            longest = CrashVerdict{ suspect, left };
        }
    };
    if (suspects.request_) {
        consider(*suspects.request_);
    }
    std::for_each(suspects.parts_.begin(), suspects.parts_.end(), consider);
    return longest;
}

void CrashRegister::crashed(const CrashSuspects &suspects, IncarnationKey endpoint, MonotonicTime writtenAt, MonotonicTime now)
{
    add({ endpoint, suspects.request_.value(), suspects.parts_, writtenAt, now, false }, true, now);
    reconsider(now);
}

void CrashRegister::answered(const CrashSuspects &suspects, MonotonicTime now)
{
    const auto answeredNow = [&](SuspectKey suspect) {
        answers_.add(suspect, now);
        clear(suspect, now, now);
    };
    if (suspects.request_) {
        answeredNow(*suspects.request_);
    }
    std::for_each(suspects.parts_.begin(), suspects.parts_.end(), answeredNow);
    reconsider(now);
}

std::size_t CrashRegister::survived(const LifeSign &sign, MonotonicTime now)
{
    std::size_t refuted = 0;
    for (auto crash = crashes_.lower_bound({ sign.endpoint_, SuspectKey() }); crash != crashes_.end() && crash->first.first == sign.endpoint_; ++crash) {
        if (!crash->second.record_.isRefuted_ && refutes(sign, crash->second)) {
            refute(crash->second, now);
            ++refuted;
        }
    }
    reconsider(now);
    return refuted;
}

bool CrashRegister::refutes(const LifeSign &sign, const Crash &crash)
{
    const auto &record = crash.record_;
    // A loss may be noticed only once the endpoint has started again, so the connection must be older than the request.
    const bool isOfSameIncarnation = !sign.openedAt_ || (crash.isSeenHere_ && *sign.openedAt_ <= record.writtenAt_);
    return isOfSameIncarnation && record.crashedAt_ <= sign.askedAt_;
}

void CrashRegister::merge(const CrashReports &reports, MonotonicTime now)
{
    for (const auto &sighting : reports.sightings_) {
        const auto crashedAt = now - std::max(sighting.age_, std::chrono::milliseconds(0));
        add({ sighting.endpoint_, sighting.request_, sighting.parts_, crashedAt - sighting.held_, crashedAt, sighting.isRefuted_ }, false, now);
    }
    for (const auto &clearance : reports.clearances_) {
        clear(clearance.suspect_, now - std::max(clearance.age_, std::chrono::milliseconds(0)), now);
    }
    reconsider(now);
}

std::size_t CrashRegister::crashesInARow(const CrashSuspects &suspects, MonotonicTime now) const
{
    auto most = suspects.request_ ? evidenceOf(*suspects.request_, now).crashesInARow() : 0;
    for (const auto part : suspects.parts_) {
        most = std::max(most, evidenceOf(part, now).crashesInARow());
    }
    return most;
}

std::uint64_t CrashRegister::version() const
{
    return version_;
}

CrashReports CrashRegister::changesAfter(std::uint64_t version, MonotonicTime now) const
{
    CrashReports reports;
    for (auto change = changes_.upper_bound(version); change != changes_.end(); ++change) {
        if (!isExpired(change->second, now)) {
            report(change->second, reports, now);
        }
    }
    return reports;
}

CrashChanges CrashRegister::changesFor(std::uint64_t version, MonotonicTime now) const
{
    CrashChanges changes{ {}, version_ };
    for (auto change = changes_.upper_bound(version); change != changes_.end(); ++change) {
        if (!isTold(change->second, now)) {
            continue;
        }
        if (changes.reports_.size() == MaxReports) {
            changes.version_ = std::prev(change)->first;
            break;
        }
        report(change->second, changes.reports_, now);
    }
    return changes;
}

std::vector<SuspectKey> CrashRegister::quarantined(MonotonicTime now) const
{
    std::vector<SuspectKey> suspects;
    for (const auto &[suspect, verdict] : verdicts_) {
        if (verdict.isQuarantined_ && now < verdict.until_) {
            suspects.push_back(suspect);
        }
    }
    return suspects;
}

std::vector<CrashSighting> CrashRegister::evidenceAgainst(SuspectKey suspect, MonotonicTime now) const
{
    const auto evidence = evidenceOf(suspect, now);
    const auto &alternatives = verdicts_.at(suspect).alternatives_;
    std::vector<CrashSighting> sightings;
    for (const auto *record : evidence.records()) {
        auto sighting = sightingOf(*record, now);
        std::erase_if(sighting.parts_,
                      [&](SuspectKey part) { return part != suspect && std::find(alternatives.begin(), alternatives.end(), part) == alternatives.end(); });
        sightings.push_back(std::move(sighting));
    }
    return sightings;
}

std::set<SuspectKey> CrashRegister::suspectsOf(const CrashRecord &record)
{
    std::set<SuspectKey> suspects(record.parts_.begin(), record.parts_.end());
    suspects.insert(record.request_);
    return suspects;
}

CrashSighting CrashRegister::sightingOf(const CrashRecord &record, MonotonicTime now)
{
    return { record.endpoint_,
             record.request_,
             record.parts_,
             millisecondsBetween(record.writtenAt_, record.crashedAt_),
             millisecondsBetween(record.crashedAt_, now),
             record.isRefuted_ };
}

/// Joins the record with what is known of the same crash.
void CrashRegister::add(CrashRecord record, bool isSeenHere, MonotonicTime now)
{
    if (now >= record.crashedAt_ + Lifetime) {
        return;
    }
    const RecordKey key{ record.endpoint_, record.request_ };
    if (!crashes_.contains(key)) {
        makeRoom(now);
    }
    const auto [found, isNew] = crashes_.try_emplace(key);
    auto &crash = found->second;
    crash.isSeenHere_ = crash.isSeenHere_ || isSeenHere;
    const bool hasMoreParts = record.parts_.size() > crash.record_.parts_.size();
    const bool isRefuted = record.isRefuted_ || crash.record_.isRefuted_;
    const bool isChanged = isNew || hasMoreParts || isRefuted != crash.record_.isRefuted_;
    if (!isNew && crash.record_.crashedAt_ <= record.crashedAt_) {
        // Reports take time, so the earliest estimate is the best one.
        record.writtenAt_ = crash.record_.writtenAt_;
        record.crashedAt_ = crash.record_.crashedAt_;
    }
    if (!isNew && !hasMoreParts) {
        record.parts_ = std::move(crash.record_.parts_);
    }
    record.isRefuted_ = isRefuted;
    crash.record_ = std::move(record);
    if (!isChanged) {
        return;
    }
    changed(crash, key, now);
    for (const auto suspect : suspectsOf(crash.record_)) {
        addSuspect(suspect, crash.record_, now);
    }
}

void CrashRegister::addSuspect(SuspectKey suspect, const CrashRecord &record, MonotonicTime now)
{
    const RecordKey key{ record.endpoint_, record.request_ };
    crashesBySuspect_[suspect].insert(key);
    if (!isOpen(record, suspect)) {
        close(suspect, key);
    } else if (auto &open = openCrashes_[suspect]; open.size() < MaxOpenCrashes) {
        open.insert(key);
        touched_.insert(suspect);
    }
    if (const auto answeredAt = answers_.lastOf(suspect)) {
        clear(suspect, *answeredAt, now);
    }
}

bool CrashRegister::isOpen(const CrashRecord &record, SuspectKey suspect) const
{
    const auto clearance = clearances_.find(suspect);
    return !record.isRefuted_ && (clearance == clearances_.end() || record.crashedAt_ > clearance->second.answeredAt_);
}

/// Does nothing if the suspect was not there at a crash, or if an answer is known and this one clears the suspect of no more crashes.
void CrashRegister::clear(SuspectKey suspect, MonotonicTime answeredAt, MonotonicTime now)
{
    if (!crashesBySuspect_.contains(suspect)) {
        return;
    }
    const auto evidence = evidenceOf(suspect, now);
    const bool clears = !evidence.records().empty() && evidence.records().front()->crashedAt_ <= answeredAt;
    if (!clears && clearances_.contains(suspect)) {
        return;
    }
    auto &clearance = clearances_[suspect];
    clearance.answeredAt_ = answeredAt;
    touched_.insert(suspect);
    changed(clearance, suspect, now);
    for (const auto *record : evidence.records()) {
        if (!isOpen(*record, suspect)) {
            close(suspect, { record->endpoint_, record->request_ });
        }
    }
}

void CrashRegister::refute(Crash &crash, MonotonicTime now)
{
    const RecordKey key{ crash.record_.endpoint_, crash.record_.request_ };
    crash.record_.isRefuted_ = true;
    changed(crash, key, now);
    for (const auto suspect : suspectsOf(crash.record_)) {
        close(suspect, key);
    }
}

void CrashRegister::close(SuspectKey suspect, const RecordKey &record)
{
    const auto open = openCrashes_.find(suspect);
    if (open != openCrashes_.end()) {
        touched_.insert(suspect);
        open->second.erase(record);
        if (open->second.empty()) {
            openCrashes_.erase(open);
        }
    }
}

void CrashRegister::changed(Change &change, EntryKey key, MonotonicTime now)
{
    changes_.erase(change.version_);
    change.version_ = ++version_;
    change.changedAt_ = now;
    changes_.emplace(version_, key);
}

CrashEvidence CrashRegister::evidenceOf(SuspectKey suspect, MonotonicTime now) const
{
    std::vector<const CrashRecord *> records;
    const auto open = openCrashes_.find(suspect);
    if (open != openCrashes_.end()) {
        for (const auto &key : open->second) {
            const auto &record = crashes_.at(key).record_;
            if (now < record.crashedAt_ + Lifetime) {
                records.push_back(&record);
            }
        }
    }
    return { suspect, std::move(records), clearances_.contains(suspect) };
}

void CrashRegister::updateSuspected(MonotonicTime now)
{
    for (const auto suspect : std::exchange(touched_, {})) {
        isDecisionDue_ = suspected_.erase(suspect) > 0 || isDecisionDue_;
        auto evidence = evidenceOf(suspect, now);
        if (evidence.isSuspected()) {
            suspected_.emplace(suspect, std::move(evidence));
            isDecisionDue_ = true;
        }
    }
}

void CrashRegister::reconsider(MonotonicTime now)
{
    updateSuspected(now);
    const bool isTooSoon = suspected_.size() > MaxSuspectsAtOnce && now - decidedAt_ < DecisionInterval;
    if (!isDecisionDue_ || isTooSoon) {
        return;
    }
    isDecisionDue_ = false;
    decidedAt_ = now;
    std::vector<CrashEvidence> suspects;
    for (const auto &[suspect, evidence] : suspected_) {
        suspects.push_back(evidence);
    }
    const auto blames = blamedSuspects(std::move(suspects));
    std::erase_if(verdicts_, [now](const auto &item) { return now >= item.second.until_; });
    for (auto &[suspect, verdict] : verdicts_) {
        verdict.isQuarantined_ = false;
    }
    for (const auto &blame : blames) {
        quarantine(blame, now);
    }
}

void CrashRegister::quarantine(const Blame &blame, MonotonicTime now)
{
    const auto &evidence = blame.evidence_;
    const auto duration = evidence.wasAnswered() && evidence.isPart() ? KnownPartQuarantine : std::chrono::seconds(Lifetime);
    const auto until = evidence.records().back()->crashedAt_ + duration;
    if (now >= until) {
        return;
    }
    const auto [verdict, isNew] = verdicts_.try_emplace(evidence.suspect());
    verdict->second = { true, until, blame.alternatives_ };
    if (isNew) {
        // Other gateways may not have been told of crashes of long ago.
        for (const auto &key : crashesBySuspect_.at(evidence.suspect())) {
            changed(crashes_.at(key), key, now);
        }
    }
}

bool CrashRegister::hasVerdict(SuspectKey suspect, MonotonicTime now) const
{
    const auto verdict = verdicts_.find(suspect);
    return verdict != verdicts_.end() && now < verdict->second.until_;
}

/// True if a gateway that starts needs the entry to come to the same verdicts.
bool CrashRegister::isNeeded(const EntryKey &key, MonotonicTime now) const
{
    const auto isInVerdict = [&](const RecordKey &record) {
        const auto suspects = suspectsOf(crashes_.at(record).record_);
        return std::any_of(suspects.begin(), suspects.end(), [&](SuspectKey suspect) { return hasVerdict(suspect, now); });
    };
    if (const auto *record = std::get_if<RecordKey>(&key)) {
        return isInVerdict(*record);
    }
    const auto known = crashesBySuspect_.find(std::get<SuspectKey>(key));
    return known != crashesBySuspect_.end() && std::any_of(known->second.begin(), known->second.end(), isInVerdict);
}

bool CrashRegister::isTold(const EntryKey &key, MonotonicTime now) const
{
    if (isExpired(key, now)) {
        return false;
    }
    const auto *record = std::get_if<RecordKey>(&key);
    const auto changedAt = record != nullptr ? crashes_.at(*record).changedAt_ : clearances_.at(std::get<SuspectKey>(key)).changedAt_;
    return now - changedAt <= RecentTime || isNeeded(key, now);
}

bool CrashRegister::isExpired(const EntryKey &key, MonotonicTime now) const
{
    const auto *record = std::get_if<RecordKey>(&key);
    const auto at = record != nullptr ? crashes_.at(*record).record_.crashedAt_ : clearances_.at(std::get<SuspectKey>(key)).answeredAt_;
    return now >= at + Lifetime;
}

void CrashRegister::report(const EntryKey &key, CrashReports &reports, MonotonicTime now) const
{
    if (const auto *record = std::get_if<RecordKey>(&key)) {
        reports.sightings_.push_back(sightingOf(crashes_.at(*record).record_, now));
    } else {
        const auto suspect = std::get<SuspectKey>(key);
        reports.clearances_.push_back({ suspect, millisecondsBetween(clearances_.at(suspect).answeredAt_, now) });
    }
}

/// Removes expired entries, and if there are none the oldest one on which no verdict rests.
void CrashRegister::makeRoom(MonotonicTime now)
{
    while (!changes_.empty() && isExpired(changes_.begin()->second, now)) {
        erase(EntryKey(changes_.begin()->second));
    }
    while (changes_.size() >= MaxEntries) {
        const auto found = std::find_if(changes_.begin(), changes_.end(), [&](const auto &change) { return !isNeeded(change.second, now); });
        erase(EntryKey((found == changes_.end() ? changes_.begin() : found)->second));
    }
}

void CrashRegister::erase(const EntryKey &key)
{
    if (const auto *record = std::get_if<RecordKey>(&key)) {
        const auto found = crashes_.find(*record);
        for (const auto suspect : suspectsOf(found->second.record_)) {
            const auto known = crashesBySuspect_.find(suspect);
            known->second.erase(*record);
            if (known->second.empty()) {
                crashesBySuspect_.erase(known);
            }
            close(suspect, *record);
        }
        changes_.erase(found->second.version_);
        crashes_.erase(found);
    } else {
        const auto found = clearances_.find(std::get<SuspectKey>(key));
        changes_.erase(found->second.version_);
        clearances_.erase(found);
    }
}

} // namespace cowsliphead

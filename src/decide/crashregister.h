#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "core/time.h"
#include "decide/blame.h"
#include "decide/crashchanges.h"
#include "decide/crashevidence.h"
#include "decide/crashrecord.h"
#include "decide/crashreports.h"
#include "decide/crashsuspects.h"
#include "decide/crashverdict.h"
#include "decide/lifesign.h"
#include "decide/recentanswers.h"

namespace cowsliphead
{

/// Finds the requests, and the parts of prompts, that crash endpoints, from what the gateways saw of crashes and answers. A suspect that was
/// there when several endpoints crashed one after the other, that was not answered in between and whose crashes no other suspect explains is
/// quarantined: no request with it is dispatched. Registers converge by exchanging reports in any order, any number of times. Thread safety:
/// owner task only.
class CrashRegister
{
public:
    /// How long a suspect is quarantined after its last crash, and how long crashes and answers are remembered.
    static constexpr std::chrono::minutes Lifetime{ 10 };

    /// The same for a part of prompts that was answered before, which is tried again sooner: many requests may have it.
    static constexpr std::chrono::seconds KnownPartQuarantine{ 30 };

    /// Limits the memory that failing endpoints and callers can occupy.
    static constexpr std::size_t MaxEntries = 4096;

    /// True if no crash is known, so that digests of requests need not be computed.
    bool isEmpty() const;

    /// Why a request with these suspects must not be dispatched; nothing if it may be.
    std::optional<CrashVerdict> verdictOn(const CrashSuspects &suspects, MonotonicTime now) const;

    /// An endpoint closed a connection of this gateway with the request in hand. Precondition: the suspects have the request.
    void crashed(const CrashSuspects &suspects, IncarnationKey endpoint, MonotonicTime writtenAt, MonotonicTime now);

    /// An endpoint answered the request completely: neither the request nor its parts crash endpoints.
    void answered(const CrashSuspects &suspects, MonotonicTime now);

    /// An endpoint was alive. If it was taken to have crashed before, it only lost answers. Returns how many crashes this refutes. The time of a
    /// crash that another gateway saw is known too roughly to compare connections with it; only an answer that names the incarnation refutes that.
    std::size_t survived(const LifeSign &sign, MonotonicTime now);

    /// Takes what another register knows.
    void merge(const CrashReports &reports, MonotonicTime now);

    /// The most crashes in a row that speak against one of the suspects.
    std::size_t crashesInARow(const CrashSuspects &suspects, MonotonicTime now) const;

    /// Increases with each change.
    std::uint64_t version() const;

    /// What changed after a version of this register; 0 for all.
    CrashReports changesAfter(std::uint64_t version, MonotonicTime now) const;

    /// The first changes after a version that another gateway needs; 0 for all. What leads to no quarantine is told only while it is recent:
    /// after a failure of many endpoints there are hundreds of crashes, and a gateway that comes later can do without them.
    CrashChanges changesFor(std::uint64_t version, MonotonicTime now) const;

    std::vector<SuspectKey> quarantined(MonotonicTime now) const;

    /// The crashes for which the suspect is quarantined, without suspects that are not to blame. Precondition: it is quarantined.
    std::vector<CrashSighting> evidenceAgainst(SuspectKey suspect, MonotonicTime now) const;

private:
    /// How long a change is told that leads to no quarantine.
    static constexpr std::chrono::seconds RecentTime{ 10 };

    /// Crashes that are held against one suspect. A part that many requests have collects hundreds while all endpoints fail.
    static constexpr std::size_t MaxOpenCrashes = 32;

    /// With more suspects than this, as after a failure of many endpoints, decisions are made at intervals only.
    static constexpr std::size_t MaxSuspectsAtOnce = 64;
    static constexpr std::chrono::milliseconds DecisionInterval{ 200 };

    /// Changes in one message: a few kilobytes, which the smallest links carry beside their load.
    static constexpr std::size_t MaxReports = 64;

    using RecordKey = std::pair<IncarnationKey, SuspectKey>;
    using EntryKey = std::variant<RecordKey, SuspectKey>;

    struct Change {
        std::uint64_t version_ = 0;
        MonotonicTime changedAt_;
    };

    struct Crash : Change {
        CrashRecord record_;

        /// False if only other gateways have reported it.
        bool isSeenHere_ = false;
    };

    struct Clearance : Change {
        MonotonicTime answeredAt_;
    };

    struct Verdict {
        /// False if the suspect was released before its time.
        bool isQuarantined_ = false;
        MonotonicTime until_;

        /// Only requests that have all of these, too, are refused.
        std::vector<SuspectKey> alternatives_;
    };

    static std::set<SuspectKey> suspectsOf(const CrashRecord &record);
    static CrashSighting sightingOf(const CrashRecord &record, MonotonicTime now);

    static bool refutes(const LifeSign &sign, const Crash &crash);
    void add(CrashRecord record, bool isSeenHere, MonotonicTime now);
    void addSuspect(SuspectKey suspect, const CrashRecord &record, MonotonicTime now);
    void clear(SuspectKey suspect, MonotonicTime answeredAt, MonotonicTime now);
    void refute(Crash &crash, MonotonicTime now);
    void close(SuspectKey suspect, const RecordKey &record);
    void changed(Change &change, EntryKey key, MonotonicTime now);

    CrashEvidence evidenceOf(SuspectKey suspect, MonotonicTime now) const;
    bool isOpen(const CrashRecord &record, SuspectKey suspect) const;

    /// Decides again who is to blame, if any evidence has changed.
    void reconsider(MonotonicTime now);
    void updateSuspected(MonotonicTime now);
    void quarantine(const Blame &blame, MonotonicTime now);
    bool hasVerdict(SuspectKey suspect, MonotonicTime now) const;
    bool isNeeded(const EntryKey &key, MonotonicTime now) const;
    bool isTold(const EntryKey &key, MonotonicTime now) const;
    bool isExpired(const EntryKey &key, MonotonicTime now) const;
    void report(const EntryKey &key, CrashReports &reports, MonotonicTime now) const;
    void makeRoom(MonotonicTime now);
    void erase(const EntryKey &key);

    std::map<RecordKey, Crash> crashes_;
    std::map<SuspectKey, std::set<RecordKey>> crashesBySuspect_;

    /// As crashesBySuspect_, without crashes that are refuted or from before the suspect's last answer; at most MaxOpenCrashes each.
    std::map<SuspectKey, std::set<RecordKey>> openCrashes_;

    /// The last known answers to suspects that were there at crashes.
    std::map<SuspectKey, Clearance> clearances_;
    RecentAnswers answers_;
    std::map<SuspectKey, Verdict> verdicts_;

    /// The suspects whose evidence has changed.
    std::set<SuspectKey> touched_;

    /// The evidence against all that isSuspected().
    std::map<SuspectKey, CrashEvidence> suspected_;
    bool isDecisionDue_ = false;
    MonotonicTime decidedAt_;

    /// The entries in the order of their last changes.
    std::map<std::uint64_t, EntryKey> changes_;
    std::uint64_t version_ = 0;
};

} // namespace cowsliphead

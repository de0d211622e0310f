#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/errorcode.h"
#include "core/systemclock.h"
#include "decide/crashregister.h"
#include "fleet/retrybackoff.h"
#include "logs/log.h"
#include "relay/quarantinecodec.h"
#include "store/rangedstore.h"
#include "task/timer.h"

namespace cowsliphead
{

/// Keeps the evidence against quarantined suspects in the store and follows what other gateways put there. Entries end with a lease. Thread safety: all
/// members, on the store's task only.
template <RangedStore S>
class QuarantineStore
{
public:
    using OnReports = std::function<void(const CrashReports &)>;
    using OnNewEra = std::function<void()>;

    /// onReports receives the entries of the store; onNewEra is called once all entries of a store that came back from a copy are read, so that the
    /// evidence that it has lost can be put there again. Precondition: the loop outlives the object. No reply follows once it is destroyed.
    QuarantineStore(EventLoop &loop, std::unique_ptr<S> store, OnReports onReports, OnNewEra onNewEra)
        : store_(std::move(store))
        , onReports_(std::move(onReports))
        , onNewEra_(std::move(onNewEra))
        , nextCall_(loop, [this] { proceed(); })
        , nextWrite_(loop, [this] { write(); })
    {
    }

    /// Reads the entries and watches them from then on. Precondition: called once.
    void start()
    {
        read({});
        nextWrite_.startRepeating(WriteInterval);
    }

    /// Puts the evidence into the store from this time on, unless there is some against the suspect by then. Repeated calls change nothing.
    void put(SuspectKey suspect, std::vector<CrashSighting> evidence, MonotonicTime from)
    {
        const auto key = quarantinecodec::keyOf(suspect);
        if (!stored_.contains(key)) {
            pending_.try_emplace(key, Pending{ std::move(evidence), from });
        }
    }

private:
    /// A watch without changes ends after this time, so that a connection that has gone silent is noticed.
    static constexpr std::chrono::milliseconds WatchWait{ 5000 };

    /// Interval between attempts to write.
    static constexpr std::chrono::milliseconds WriteInterval{ 500 };

    struct Pending {
        std::vector<CrashSighting> evidence_;
        MonotonicTime from_;
    };

    void proceed()
    {
        if (isReadDue_) {
            read({});
        } else {
            watch();
        }
    }

    void read(const std::string &after)
    {
        store_->range(quarantinecodec::Prefix, after, [this, isFirst = after.empty()](const Result<StoreRange> &answer) {
            if (!answer) {
                failed();
                return;
            }
            if (isFirst) {
                // Pages are not read from one snapshot, so the watch starts from the first page's revision.
                isNewEra_ = isNewEra_ || (!cursor_.isNone() && cursor_.era_ != answer->revision_.era_);
                cursor_ = answer->revision_;
                stored_.clear();
            } else if (answer->revision_.era_ != cursor_.era_) {
                // Pages of two eras do not add up to what the store has.
                read({});
                return;
            }
            apply(answer->entries_);
            if (answer->hasMore_ && !answer->entries_.empty()) {
                read(answer->entries_.back().key_);
                return;
            }
            isReadDue_ = false;
            backoff_.reset();
            if (std::exchange(isNewEra_, false)) {
                onNewEra_();
            }
            watch();
        });
    }

    void watch()
    {
        store_->watch(quarantinecodec::Prefix, cursor_, WatchWait, [this](const Result<WatchAnswer> &answer) {
            if (!answer) {
                failed();
                return;
            }
            backoff_.reset();
            cursor_ = std::max(cursor_, answer->revision_);
            apply(answer->entries_);
            nextCall_.startOnce(std::chrono::milliseconds(0));
        });
    }

    /// Outages of the store are logged by the readers of the configuration and the endpoints.
    void failed()
    {
        isReadDue_ = true;
        nextCall_.startOnce(backoff_.next());
    }

    void apply(const std::vector<StoreEntry> &entries)
    {
        CrashReports reports;
        for (const auto &entry : entries) {
            if (entry.isErased_) {
                stored_.erase(entry.key_);
            } else if (const auto evidence = quarantinecodec::fromEntry(entry)) {
                stored_.insert(entry.key_);
                pending_.erase(entry.key_);
                reports.sightings_.insert(reports.sightings_.end(), evidence->sightings_.begin(), evidence->sightings_.end());
            } else {
                logEvent(LogEvent::QuarantineEntryMalformed, { { "key", entry.key_ }, { "revision", entry.revision_.number_ } });
            }
        }
        if (reports.size() > 0) {
            onReports_(reports);
        }
    }

    /// Writes a pending entry under a lease of its own; what fails stays pending.
    void write()
    {
        const auto now = SystemClock().now();
        const auto due = std::find_if(pending_.begin(), pending_.end(), [now](const auto &item) { return now >= item.second.from_; });
        if (due == pending_.end() || isWriting_) {
            return;
        }
        isWriting_ = true;
        store_->grantLease(CrashRegister::Lifetime, [this, key = due->first, evidence = due->second.evidence_](const Result<LeaseId> &lease) {
            if (!lease) {
                isWriting_ = false;
                return;
            }
            StoreWrite write;
            write.key_ = key;
            write.value_ = quarantinecodec::toText(evidence);
            write.lease_ = *lease;
            store_->compareAndSwap(write, [this, key](const Result<StoreRevision> &answer) {
                isWriting_ = false;
                if (answer || answer.error() == ErrorCode::StoreConflict) {
                    pending_.erase(key);
                    stored_.insert(key);
                }
            });
        });
    }

    std::unique_ptr<S> store_;
    OnReports onReports_;
    OnNewEra onNewEra_;
    RetryBackoff backoff_;
    Timer nextCall_;
    Timer nextWrite_;

    /// Keys of the store.
    std::set<std::string> stored_;
    std::map<std::string, Pending> pending_;
    StoreRevision cursor_;
    bool isNewEra_ = false;
    bool isReadDue_ = true;
    bool isWriting_ = false;
};

} // namespace cowsliphead

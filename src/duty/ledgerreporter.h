#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/errorcode.h"
#include "decide/sealplan.h"
#include "duty/leaseholder.h"
#include "duty/ledgerreportersettings.h"
#include "store/store.h"
#include "usage/buildusagereports.h"
#include "usage/reportreceiver.h"
#include "usage/usagecodec.h"
#include "usage/usagekeys.h"

namespace cowsliphead
{

/// Seals and reports the usage of one shard of client accounts while it holds the duty. A round reads the ledger and then either seals
/// the window that is due or, if none is due, reports the sealed figures of the oldest pending window.
/// Thread safety: all members, on the store's task only.
template <Store S, Clock C, ReportReceiver R>
class LedgerReporter
{
public:
    /// Precondition: store, clock and receiver outlive the reporter, which outlives all their replies.
    LedgerReporter(S &store, const C &clock, R &receiver, const LedgerReporterSettings &settings, const LeasePolicy &policy, const std::string &holder)
        : store_(store)
        , clock_(clock)
        , receiver_(receiver)
        , settings_(settings)
        , lease_(store, clock, policy, usagekeys::duty(settings.shard_), holder)
    {
    }

    /// Takes the next step. To be called several times within the lease's margin.
    void tick()
    {
        lease_.tick();
        if (!isBusy_ && lease_.mayAct()) {
            isBusy_ = true;
            readLedger();
        }
    }

    const LeaseHolder<S, C> &lease() const
    {
        return lease_;
    }

private:
    static constexpr std::size_t PageSize = 500;

    /// Limits the ledger's size while the platform accepts no reports; later usage stays in the counters.
    static constexpr std::size_t MaxPendingWindows = 48;

    void endRound()
    {
        isBusy_ = false;
    }

    void readLedger()
    {
        store_.read(usagekeys::ledger(settings_.shard_), [this](const Result<std::optional<StoreEntry>> &answer) {
            if (!answer || !decodeLedger(*answer)) {
                endRound();
                return;
            }
            counters_.clear();
            entries_.clear();
            if (isSealDue()) {
                listCounters(std::string());
            } else {
                report();
            }
        });
    }

    bool decodeLedger(const std::optional<StoreEntry> &entry)
    {
        const auto ledger = entry ? usagecodec::decodeLedger(entry->value_) : Result<UsageLedger>(UsageLedger());
        if (ledger) {
            ledger_ = *ledger;
            ledgerRevision_ = entry ? entry->revision_ : 0;
        }
        return ledger.has_value();
    }

    /// Returns the newest window that ended at least sealDelay_ ago.
    UsageWindow dueWindow() const
    {
        return usageWindowAt(clock_.wallNow() - settings_.sealDelay_, settings_.windowLength_) - 1;
    }

    bool isSealDue() const
    {
        return dueWindow() > ledger_.lastWindow_ && ledger_.pending_.size() < MaxPendingWindows;
    }

    void listCounters(const std::string &after)
    {
        store_.list(usagekeys::counterPrefix(settings_.shard_), after, PageSize, [this](const Result<std::vector<StoreEntry>> &answer) {
            if (!answer || !addCounters(*answer)) {
                endRound();
            } else if (answer->size() == PageSize) {
                listCounters(answer->back().key_);
            } else {
                seal();
            }
        });
    }

    bool addCounters(const std::vector<StoreEntry> &entries)
    {
        for (const auto &entry : entries) {
            auto counter = usagecodec::decodeCounter(entry.value_);
            if (!counter) {
                return false;
            }
            counters_[entry.key_] = std::move(*counter);
            entries_.push_back(entry);
        }
        return true;
    }

    void seal()
    {
        const auto window = dueWindow();
        retireCounters(window);
        writeLedger(sealWindow(ledger_, counters_, window));
    }

    void writeLedger(const UsageLedger &ledger)
    {
        if (!lease_.mayAct()) {
            endRound();
            return;
        }
        StoreWrite write;
        write.key_ = usagekeys::ledger(settings_.shard_);
        write.value_ = usagecodec::encodeLedger(ledger);
        write.expectedRevision_ = ledgerRevision_;
        // The answer does not matter: the next round reads the ledger again.
        store_.compareAndSwap(write, [this](const Result<StoreRevision> &) { endRound(); });
    }

    /// Freezes counters that have not changed for freezeAfter_ windows, and erases those that have been frozen for eraseAfter_ windows.
    void retireCounters(UsageWindow window)
    {
        for (const auto &entry : entries_) {
            const auto &counter = counters_.at(entry.key_);
            if (!counter.isFrozen_ && counter.window_ + settings_.freezeAfter_ < window) {
                freeze(entry, counter, window);
            } else if (ledger_.retiredCounters_.contains(entry.key_) && counter.window_ + settings_.eraseAfter_ < window) {
                erase(entry);
            }
        }
    }

    void freeze(const StoreEntry &entry, UsageCounter counter, UsageWindow window)
    {
        counter.isFrozen_ = true;
        counter.window_ = window;
        StoreWrite write;
        write.key_ = entry.key_;
        write.value_ = usagecodec::encodeCounter(counter);
        write.expectedRevision_ = entry.revision_;
        store_.compareAndSwap(write, [](const Result<StoreRevision> &) {});
    }

    void erase(const StoreEntry &entry)
    {
        StoreWrite write;
        write.key_ = entry.key_;
        write.expectedRevision_ = entry.revision_;
        write.isErase_ = true;
        store_.compareAndSwap(write, [](const Result<StoreRevision> &) {});
    }

    void report()
    {
        if (ledger_.pending_.empty()) {
            endRound();
            return;
        }
        const auto &oldest = ledger_.pending_.front();
        if (oldest.window_ != reportedWindow_) {
            reportedWindow_ = oldest.window_;
            confirmed_.clear();
        }
        reports_ = buildUsageReports(oldest);
        submitNext();
    }

    void submitNext()
    {
        const auto next = std::find_if(reports_.begin(), reports_.end(), [this](const UsageReport &report) { return !confirmed_.contains(report.account_); });
        if (next == reports_.end()) {
            writeLedger(confirmWindow(ledger_));
            return;
        }
        if (!lease_.mayAct()) {
            endRound();
            return;
        }
        next->fencing_ = lease_.fencingNumber();
        receiver_.submit(*next, [this, account = next->account_](const Result<void> &answer) {
            if (!answer) {
                endRound();
                return;
            }
            confirmed_.insert(account);
            submitNext();
        });
    }

    S &store_;
    const C &clock_;
    R &receiver_;
    LedgerReporterSettings settings_;
    LeaseHolder<S, C> lease_;
    bool isBusy_ = false;

    UsageLedger ledger_;
    StoreRevision ledgerRevision_ = 0;
    std::map<std::string, UsageCounter> counters_;
    std::vector<StoreEntry> entries_;

    UsageWindow reportedWindow_ = 0;
    std::set<AccountId> confirmed_;
    std::vector<UsageReport> reports_;
};

} // namespace cowsliphead

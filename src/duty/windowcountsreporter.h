#pragma once

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/errorcode.h"
#include "duty/dutyplatform.h"
#include "duty/dutyterm.h"
#include "duty/membercountscodec.h"
#include "duty/sealrestorer.h"
#include "duty/windowcountscodec.h"
#include "logs/log.h"
#include "store/rangedstore.h"
#include "usage/usagecountkeys.h"

namespace cowsliphead
{

/// Adds up the counts of all gateways for a window, seals the sum in the store and reports it. Once a window is sealed, every report of it
/// has the same figures, whichever holder of the duty sends it.
///
/// A store that came back from a copy may have lost seals of windows that were reported. Who knows such a seal writes it again. A window without a seal
/// that a holder of an earlier era may have reported is in doubt and is not sealed: the first holder of an era writes the number of the first window
/// that is not, which is the one in which its tenure began.
/// Thread safety: all members, on the store's task only.
template <RangedStore S, DutyPlatform P>
class WindowCountsReporter
{
public:
    /// activeTerm returns the term of the duty while the process may act; onRefused is called if another holder has a higher fencing number.
    /// Precondition: store and platform outlive the reporter, which outlives their replies.
    WindowCountsReporter(S &store, P &platform, std::function<std::optional<DutyTerm>()> activeTerm, std::function<void()> onRefused)
        : store_(store)
        , platform_(platform)
        , activeTerm_(std::move(activeTerm))
        , onRefused_(std::move(onRefused))
        , restorer_(store)
    {
    }

    /// Writes seals again that a store which came back from a copy has lost. To be called at intervals, by holders of the duty and by others.
    void restoreSeals()
    {
        restorer_.tick();
    }

    /// Finds out which windows are in doubt. current: the window of this moment. Returns true once report() may be called for the term.
    bool prepare(UsageWindow current)
    {
        const auto term = activeTerm_();
        if (!term) {
            return false;
        }
        if (std::exchange(tenure_, term->tenure_) != term->tenure_) {
            tenureFrom_ = current;
        }
        const auto era = term->fencingKey_.revision_.era_;
        if (era == trustedInEra_) {
            return true;
        }
        // Other holders take what is written below for a promise that the store has all seals of this tenure.
        if (!isPreparing_ && restorer_.isComplete()) {
            isPreparing_ = true;
            readTrusted(era, *term);
        }
        return false;
    }

    /// Reports the window once the store has the final counts of the given number of gateways, unless it has been reported or its report
    /// is under way. A window without any counts precedes the system's start and is not reported. Precondition: prepare() returned true.
    void report(UsageWindow window, std::size_t gateways)
    {
        if (reported_.contains(window) || !inProgress_.insert(window).second) {
            return;
        }
        store_.read(usagecountkeys::sealedCounts(window), [this, window, gateways](const Result<std::optional<StoreEntry>> &answer) {
            if (!answer || !activeTerm_()) {
                inProgress_.erase(window);
            } else if (*answer) {
                submit(window, restorer_.learned(window, (*answer)->value_, (*answer)->revision_.era_));
            } else if (const auto *known = restorer_.sealOf(window)) {
                submit(window, *known);
            } else if (window < trustedFrom_ && trustedInEra_ != 0) {
                leaveInDoubt(window);
            } else {
                collectCounts(window, {}, CollectedCounts{ window, gateways, {} });
            }
        });
    }

private:
    /// Number of reported windows that are remembered.
    static constexpr std::size_t RememberedWindows = 64;

    /// The counts of a window are kept for this many windows after its report, for those who look for the cause of a wrong one.
    static constexpr UsageWindow CountsRetention = 3;

    /// Sealed counts are kept for this many windows, since the next holder may report them again.
    static constexpr UsageWindow SealedRetention = 60;

    /// Number of keys that the store erases in one call.
    static constexpr std::size_t EraseBatchSize = 32;

    struct CollectedCounts {
        UsageWindow window_ = 0;

        /// Number of gateways whose final counts are needed.
        std::size_t gateways_ = 0;
        membercountscodec::CountsByGateway counts_;

        bool isComplete() const
        {
            const auto finals = std::count_if(counts_.begin(), counts_.end(), [](const auto &item) { return item.second.counts_.isFinal_; });
            return !counts_.empty() && static_cast<std::size_t>(finals) >= gateways_;
        }

        WindowCounts sum() const
        {
            WindowCounts sum{ window_, {}, true };
            for (const auto &[gateway, member] : counts_) {
                for (const auto &[account, requests] : member.counts_.requests_) {
                    sum.requests_[account] += requests;
                }
            }
            return sum;
        }
    };

    /// Reads from which window on the seals of this era's store are complete, and writes it if this is the first holder of the era.
    void readTrusted(StoreEra era, const DutyTerm &term)
    {
        store_.read(usagecountkeys::trustedFrom(era), [this, era, term](const Result<std::optional<StoreEntry>> &answer) {
            if (answer && *answer) {
                prepared(era, std::strtoull((*answer)->value_.c_str(), nullptr, 10));
            } else if (answer) {
                writeTrusted(era, term);
            } else {
                isPreparing_ = false;
            }
        });
    }

    void writeTrusted(StoreEra era, const DutyTerm &term)
    {
        const auto window = std::max(tenureFrom_, trustedFrom_);
        StoreWrite write;
        write.key_ = usagecountkeys::trustedFrom(era);
        write.value_ = std::to_string(window);
        write.guards_.push_back(term.fencingKey_);
        store_.compareAndSwap(write, [this, era, window](const Result<StoreRevision> &answer) {
            isPreparing_ = false;
            if (answer) {
                prepared(era, window);
            }
        });
    }

    void prepared(StoreEra era, UsageWindow trustedFrom)
    {
        isPreparing_ = false;
        trustedInEra_ = era;
        trustedFrom_ = trustedFrom;
    }

    void leaveInDoubt(UsageWindow window)
    {
        inProgress_.erase(window);
        if (inDoubt_.insert(window).second) {
            logEvent(LogEvent::UsageWindowInDoubt, { { "window", std::uint64_t(window) }, { "era", trustedInEra_ } });
        }
        while (inDoubt_.size() > RememberedWindows) {
            inDoubt_.erase(inDoubt_.begin());
        }
    }

    void collectCounts(UsageWindow window, const std::string &after, CollectedCounts collected)
    {
        store_.range(usagecountkeys::countsPrefix(window), after, [this, window, collected = std::move(collected)](const Result<StoreRange> &page) mutable {
            const auto term = activeTerm_();
            if (!page || !term || page->revision_.era_ != term->fencingKey_.revision_.era_) {
                inProgress_.erase(window);
                return;
            }
            for (const auto &entry : page->entries_) {
                add(entry, collected);
            }
            if (page->hasMore_ && !page->entries_.empty()) {
                collectCounts(window, page->entries_.back().key_, std::move(collected));
            } else if (collected.isComplete()) {
                seal(window, windowcountscodec::toText(collected.sum()), *term);
            } else {
                inProgress_.erase(window);
            }
        });
    }

    static void add(const StoreEntry &entry, CollectedCounts &collected)
    {
        const auto counts = membercountscodec::fromText(collected.window_, entry.value_);
        if (!counts) {
            logEvent(LogEvent::UsageCountsLost, { { "window", std::uint64_t(collected.window_) }, { "key", entry.key_ } });
            return;
        }
        membercountscodec::merge(collected.counts_, *counts);
    }

    void seal(UsageWindow window, const std::string &text, const DutyTerm &term)
    {
        StoreWrite write;
        write.key_ = usagecountkeys::sealedCounts(window);
        write.value_ = text;
        write.guards_.push_back(term.fencingKey_);
        store_.compareAndSwap(write, [this, window, text](const Result<StoreRevision> &answer) {
            if (answer) {
                submit(window, restorer_.learned(window, text, answer->era_));
            } else {
                // Another holder sealed the window, or the answer was lost: the next call of report() reads the sealed counts.
                inProgress_.erase(window);
            }
        });
    }

    void submit(UsageWindow window, const std::string &text)
    {
        const auto counts = windowcountscodec::fromText(window, text);
        const auto term = activeTerm_();
        if (!counts || !term) {
            inProgress_.erase(window);
            return;
        }
        const auto fence = term->fencing_;
        platform_.reportUsage(*counts, fence, [this, window, fence](const Result<void> &answer) { submitted(window, fence, answer); });
    }

    void submitted(UsageWindow window, FencingNumber fence, const Result<void> &answer)
    {
        inProgress_.erase(window);
        if (answer) {
            logEvent(LogEvent::UsageReported, { { "window", std::uint64_t(window) }, { "fence", fence } });
            reported_.insert(window);
            while (reported_.size() > RememberedWindows) {
                reported_.erase(reported_.begin());
            }
            eraseOldCounts(window);
        } else if (answer.error() == ErrorCode::PlatformRefused) {
            logEvent(LogEvent::DutyCallRefused, { { "window", std::uint64_t(window) }, { "fence", fence } });
            onRefused_();
        } else {
            logEvent(LogEvent::DutyCallUnanswered, { { "window", std::uint64_t(window) }, { "fence", fence } });
        }
    }

    /// Errors are ignored: keys that remain in the store are small and harmless.
    void eraseOldCounts(UsageWindow reported)
    {
        erase({ usagecountkeys::sealedCounts(reported - SealedRetention) });
        store_.range(usagecountkeys::countsPrefix(reported - CountsRetention), {}, [this](const Result<StoreRange> &page) {
            if (!page) {
                return;
            }
            std::vector<std::string> keys;
            for (const auto &entry : page->entries_) {
                keys.push_back(entry.key_);
                if (keys.size() == EraseBatchSize) {
                    erase(std::exchange(keys, {}));
                }
            }
            if (!keys.empty()) {
                erase(keys);
            }
        });
    }

    void erase(const std::vector<std::string> &keys)
    {
        store_.erase(keys, [](const Result<StoreRevision> & /*answer*/) {});
    }

    S &store_;
    P &platform_;
    std::function<std::optional<DutyTerm>()> activeTerm_;
    std::function<void()> onRefused_;
    SealRestorer<S> restorer_;
    std::set<UsageWindow> inProgress_;
    std::set<UsageWindow> reported_;
    std::set<UsageWindow> inDoubt_;

    /// The last tenure of this process, and the window in which it began to act.
    std::uint64_t tenure_ = 0;
    UsageWindow tenureFrom_ = 0;

    /// A window before this one that has no seal in the store is in doubt, as of an era.
    UsageWindow trustedFrom_ = 0;
    StoreEra trustedInEra_ = 0;
    bool isPreparing_ = false;
};

} // namespace cowsliphead

#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/errorcode.h"
#include "duty/dutyplatform.h"
#include "duty/membercountscodec.h"
#include "duty/windowcountscodec.h"
#include "logs/log.h"
#include "store/rangedstore.h"
#include "usage/usagecountkeys.h"

namespace cowsliphead
{

/// Adds up the counts of all gateways for a window, seals the sum in the store and reports it. Once a window is sealed, every report of it
/// has the same figures, whichever holder of the duty sends it.
/// Thread safety: all members, on the store's task only.
template <RangedStore S, DutyPlatform P>
class WindowCountsReporter
{
public:
    /// activeFence returns the fencing number while the process may act; onRefused is called if another holder has a higher one.
    /// Precondition: store and platform outlive the reporter, which outlives their replies.
    WindowCountsReporter(S &store, P &platform, std::function<std::optional<FencingNumber>()> activeFence, std::function<void()> onRefused)
        : store_(store)
        , platform_(platform)
        , activeFence_(std::move(activeFence))
        , onRefused_(std::move(onRefused))
    {
    }

    /// Reports the window once the store has the final counts of the given number of gateways, unless it has been reported or its report
    /// is under way. A window without any counts precedes the system's start and is not reported.
    void report(UsageWindow window, std::size_t gateways)
    {
        if (reported_.contains(window) || !inProgress_.insert(window).second) {
            return;
        }
        store_.read(usagecountkeys::sealedCounts(window), [this, window, gateways](const Result<std::optional<StoreEntry>> &answer) {
            if (!answer || !activeFence_()) {
                inProgress_.erase(window);
            } else if (*answer) {
                submit(window, (*answer)->value_);
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

    void collectCounts(UsageWindow window, const std::string &after, CollectedCounts collected)
    {
        store_.range(usagecountkeys::countsPrefix(window), after, [this, window, collected = std::move(collected)](const Result<StoreRange> &page) mutable {
            if (!page || !activeFence_()) {
                inProgress_.erase(window);
                return;
            }
            for (const auto &entry : page->entries_) {
                add(entry, collected);
            }
            if (page->hasMore_ && !page->entries_.empty()) {
                collectCounts(window, page->entries_.back().key_, std::move(collected));
            } else if (collected.isComplete()) {
                seal(window, windowcountscodec::toText(collected.sum()));
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

    void seal(UsageWindow window, const std::string &text)
    {
        StoreWrite write;
        write.key_ = usagecountkeys::sealedCounts(window);
        write.value_ = text;
        store_.compareAndSwap(write, [this, window, text](const Result<StoreRevision> &answer) {
            if (answer) {
                submit(window, text);
            } else {
                // Another holder sealed the window, or the answer was lost: the next call of report() reads the sealed counts.
                inProgress_.erase(window);
            }
        });
    }

    void submit(UsageWindow window, const std::string &text)
    {
        const auto counts = windowcountscodec::fromText(window, text);
        const auto fence = activeFence_();
        if (!counts || !fence) {
            inProgress_.erase(window);
            return;
        }
        platform_.reportUsage(*counts, *fence, [this, window, fence = *fence](const Result<void> &answer) { submitted(window, fence, answer); });
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
    std::function<std::optional<FencingNumber>()> activeFence_;
    std::function<void()> onRefused_;
    std::set<UsageWindow> inProgress_;
    std::set<UsageWindow> reported_;
};

} // namespace cowsliphead

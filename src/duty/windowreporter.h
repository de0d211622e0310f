#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/errorcode.h"
#include "duty/dutyplatform.h"
#include "duty/windowcountscodec.h"
#include "logs/log.h"
#include "store/rangedstore.h"
#include "usage/usagecountkeys.h"

namespace cowsliphead
{

/// Gathers all gateways' counts of a window, seals the sum in the store and reports it. Once sealed, every report of the window, by
/// whichever holder of the duty, bears the same figures.
template <RangedStore S, DutyPlatform P>
class WindowReporter
{
public:
    /// onRefused: another holder has a higher fencing number. Precondition: store and platform outlive the reporter, and it outlives
    /// their answers. Thread safety: the store's task only.
    WindowReporter(S &store, P &platform, std::function<std::optional<FencingNumber>()> authority, std::function<void()> onRefused)
        : store_(store)
        , platform_(platform)
        , authority_(std::move(authority))
        , onRefused_(std::move(onRefused))
    {
    }

    /// Reports the window unless that was done or is under way, once the final counts of so many gateways lie in the store. One of which
    /// no gateway wrote counts lies before the system's start and is not reported. Thread safety: the store's task only.
    void report(UsageWindow window, std::size_t gateways)
    {
        if (reported_.contains(window) || !inHand_.insert(window).second) {
            return;
        }
        store_.read(usagecountkeys::sealedCounts(window), [this, window, gateways](const Result<std::optional<StoreEntry>> &answer) {
            if (!answer || !authority_()) {
                inHand_.erase(window);
            } else if (*answer) {
                submit(window, (*answer)->value_);
            } else {
                gather(window, {}, Gathered{ { window, {}, true }, gateways });
            }
        });
    }

private:
    /// Windows that are remembered as reported.
    static constexpr std::size_t Remembered = 64;

    /// Counts of a window are kept for so many windows more: gateways read them to tell how many there are.
    static constexpr UsageWindow KeptCounts = 3;

    /// Sealed counts are kept for so many windows, for a successor that reports again.
    static constexpr UsageWindow KeptSealed = 60;

    /// Keys that the store erases in one call.
    static constexpr std::size_t ErasedAtOnce = 32;

    struct Gathered {
        WindowCounts sums_;

        /// Gateways whose final counts are missing.
        std::size_t missing_ = 0;
        bool isEmpty_ = true;
    };

    void gather(UsageWindow window, const std::string &after, Gathered gathered)
    {
        store_.range(usagecountkeys::countsOf(window), after, [this, window, gathered = std::move(gathered)](const Result<StoreRange> &page) mutable {
            if (!page || !authority_()) {
                inHand_.erase(window);
                return;
            }
            for (const auto &entry : page->entries_) {
                add(entry, gathered);
            }
            if (page->hasMore_ && !page->entries_.empty()) {
                gather(window, page->entries_.back().key_, std::move(gathered));
            } else if (gathered.missing_ > 0 || gathered.isEmpty_) {
                inHand_.erase(window);
            } else {
                seal(window, windowcountscodec::toText(gathered.sums_));
            }
        });
    }

    static void add(const StoreEntry &entry, Gathered &gathered)
    {
        const auto counts = windowcountscodec::fromText(gathered.sums_.window_, entry.value_);
        if (!counts) {
            logEvent(LogEvent::UsageCountsLost, { { "window", std::uint64_t(gathered.sums_.window_) }, { "key", entry.key_ } });
            return;
        }
        gathered.isEmpty_ = false;
        if (counts->isFinal_ && gathered.missing_ > 0) {
            --gathered.missing_;
        }
        for (const auto &[account, requests] : counts->requests_) {
            gathered.sums_.requests_[account] += requests;
        }
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
                // Another holder sealed it, or an answer was lost: the next call reads what lies there.
                inHand_.erase(window);
            }
        });
    }

    void submit(UsageWindow window, const std::string &text)
    {
        const auto counts = windowcountscodec::fromText(window, text);
        const auto fence = authority_();
        if (!counts || !fence) {
            inHand_.erase(window);
            return;
        }
        platform_.reportUsage(*counts, *fence, [this, window, fence = *fence](const Result<void> &answer) { submitted(window, fence, answer); });
    }

    void submitted(UsageWindow window, FencingNumber fence, const Result<void> &answer)
    {
        inHand_.erase(window);
        if (answer) {
            logEvent(LogEvent::UsageReported, { { "window", std::uint64_t(window) }, { "fence", fence } });
            reported_.insert(window);
            while (reported_.size() > Remembered) {
                reported_.erase(reported_.begin());
            }
            clear(window);
        } else if (answer.error() == ErrorCode::PlatformRefused) {
            logEvent(LogEvent::DutyCallRefused, { { "window", std::uint64_t(window) }, { "fence", fence } });
            onRefused_();
        } else {
            logEvent(LogEvent::DutyCallUnanswered, { { "window", std::uint64_t(window) }, { "fence", fence } });
        }
    }

    /// What is not cleared now, for want of an answer, stays: it is small and does no harm.
    void clear(UsageWindow reported)
    {
        erase({ usagecountkeys::sealedCounts(reported - KeptSealed) });
        store_.range(usagecountkeys::countsOf(reported - KeptCounts), {}, [this](const Result<StoreRange> &page) {
            if (!page) {
                return;
            }
            std::vector<std::string> keys;
            for (const auto &entry : page->entries_) {
                keys.push_back(entry.key_);
                if (keys.size() == ErasedAtOnce) {
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
    std::function<std::optional<FencingNumber>()> authority_;
    std::function<void()> onRefused_;
    std::set<UsageWindow> inHand_;
    std::set<UsageWindow> reported_;
};

} // namespace cowsliphead

#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>

#include "core/errorcode.h"
#include "decide/usagewindow.h"
#include "logs/log.h"
#include "store/store.h"
#include "usage/usagecountkeys.h"

namespace cowsliphead
{

/// Remembers the sealed counts of the last windows that this process has sealed or read, and writes them again after the store came back from a copy
/// that may lack them. Thread safety: all members, on the store's task only.
template <Store S>
class SealRestorer
{
public:
    /// Precondition: the store outlives the restorer, which outlives its replies.
    explicit SealRestorer(S &store)
        : store_(store)
    {
    }

    /// The store of this era has the window's seal. Returns the sealed counts, which are those that were learned first.
    std::string learned(UsageWindow window, const std::string &text, StoreEra era)
    {
        auto &seal = seals_.try_emplace(window, Seal{ text, era }).first->second;
        seal.storedInEra_ = std::max(seal.storedInEra_, era);
        auto counts = seal.text_;
        if (seals_.size() > RememberedWindows) {
            seals_.erase(seals_.begin());
        }
        return counts;
    }

    /// The window's sealed counts, or null if this process does not know them.
    const std::string *sealOf(UsageWindow window) const
    {
        const auto found = seals_.find(window);
        return found == seals_.end() ? nullptr : &found->second.text_;
    }

    /// True if the store has all seals that this process knows.
    bool isComplete() const
    {
        return nextLost() == seals_.end();
    }

    /// Writes the next seal that the store may lack; what fails is tried again with the next call.
    void tick()
    {
        const auto era = store_.era();
        const auto next = nextLost();
        if (next == seals_.end() || isWriting_) {
            return;
        }
        isWriting_ = true;
        StoreWrite write;
        write.key_ = usagecountkeys::sealedCounts(next->first);
        write.value_ = next->second.text_;
        store_.compareAndSwap(write, [this, era, window = next->first](const Result<StoreRevision> &answer) {
            isWriting_ = false;
            // After a conflict the copy has the seal, or another process has written it.
            const bool isStored = answer || answer.error() == ErrorCode::StoreConflict;
            const auto seal = seals_.find(window);
            if (!isStored || seal == seals_.end()) {
                return;
            }
            seal->second.storedInEra_ = era;
            if (answer) {
                logEvent(LogEvent::UsageSealRestored, { { "window", std::uint64_t(window) }, { "era", era } });
            }
        });
    }

private:
    /// The copy from which a store comes back is seconds old; a window takes as long.
    static constexpr std::size_t RememberedWindows = 12;

    struct Seal {
        std::string text_;
        StoreEra storedInEra_ = 0;
    };

    typename std::map<UsageWindow, Seal>::const_iterator nextLost() const
    {
        return std::find_if(seals_.begin(), seals_.end(), [era = store_.era()](const auto &item) { return item.second.storedInEra_ < era; });
    }

    S &store_;
    std::map<UsageWindow, Seal> seals_;
    bool isWriting_ = false;
};

} // namespace cowsliphead

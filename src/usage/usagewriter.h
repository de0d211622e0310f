#pragma once

#include <optional>
#include <string>
#include <utility>

#include "core/clock.h"
#include "core/errorcode.h"
#include "decide/usagetally.h"
#include "store/store.h"
#include "usage/usagecodec.h"
#include "usage/usagekeys.h"
#include "usage/usagewritersettings.h"

namespace cowsliphead
{

/// Keeps one incarnation's counter of one shard in the store. Each write contains the whole counter, so a write whose answer was lost can be
/// repeated safely. If a reporter freezes a generation of the counter, the writer starts a new generation with the usage that the frozen one
/// lacks. Models UsageSink. Thread safety: the store's task only.
template <Store S, Clock C>
class UsageWriter
{
public:
    /// Precondition: store and clock outlive the writer, which outlives all answers of the store.
    UsageWriter(S &store, const C &clock, const UsageWriterSettings &settings)
        : store_(store)
        , clock_(clock)
        , settings_(settings)
    {
    }

    /// Counts the entry; the next flush writes it.
    void handle(const UsageEntry &entry)
    {
        isDirty_ = tally_.add(entry, usageWindowAt(clock_.wallNow(), settings_.windowLength_)) || isDirty_;
    }

    /// Writes the counter if it has changed since the last write, unless a write is in progress.
    void flush()
    {
        if (isWriting_ || (!isDirty_ && !hasUnconfirmedWrite_)) {
            return;
        }
        if (hasUnconfirmedWrite_ && clock_.now() - unconfirmedSince_ >= settings_.unconfirmedWriteTimeout_) {
            // A reporter may have frozen and erased the counter by now; a write could create it again.
            readBack();
        } else {
            write();
        }
    }

    /// True if the store is known to contain everything that was counted.
    bool isFullyWritten() const
    {
        return !isDirty_ && !hasUnconfirmedWrite_ && !isWriting_;
    }

    /// Usage that was given up because it is unknown whether it was reported; it is not billed again.
    const UsageSums &abandoned() const
    {
        return abandoned_;
    }

private:
    std::string key() const
    {
        return usagekeys::counter(settings_.shard_, settings_.incarnation_, generation_);
    }

    void write()
    {
        isWriting_ = true;
        isDirty_ = false;
        if (!std::exchange(hasUnconfirmedWrite_, true)) {
            unconfirmedSince_ = clock_.now();
        }
        attempted_ = tally_.counter().total_;
        StoreWrite write;
        write.key_ = key();
        write.value_ = usagecodec::encodeCounter(tally_.counter());
        write.expectedRevision_ = revision_;
        store_.compareAndSwap(write, [this](Result<StoreRevision> answer) {
            isWriting_ = false;
            if (answer) {
                confirmWrite(*answer);
            } else if (answer.error() == ErrorCode::StoreConflict) {
                readBack();
            } else {
                isDirty_ = true;
            }
        });
    }

    void confirmWrite(StoreRevision revision)
    {
        revision_ = revision;
        confirmed_ = attempted_;
        hasUnconfirmedWrite_ = false;
    }

    /// Reads the counter after a conflict or a timeout: a write whose answer was lost took effect, or a reporter froze or erased the counter.
    void readBack()
    {
        isWriting_ = true;
        store_.read(key(), [this](const Result<std::optional<StoreEntry>> &answer) {
            isWriting_ = false;
            isDirty_ = true;
            if (!answer) {
                return;
            }
            if (!*answer) {
                // Frozen and erased. It may have included the last attempted write, whose usage is given up so that it is not reported twice.
                addUsage(abandoned_, usageDifference(attempted_, confirmed_));
                startGeneration(attempted_);
                return;
            }
            applyStoredCounter(**answer);
        });
    }

    void applyStoredCounter(const StoreEntry &entry)
    {
        const auto found = usagecodec::decodeCounter(entry.value_);
        if (!found) {
            return;
        }
        if (found->isFrozen_) {
            startGeneration(found->total_);
            return;
        }
        revision_ = entry.revision_;
        confirmed_ = found->total_;
        hasUnconfirmedWrite_ = false;
    }

    void startGeneration(const UsageSums &counted)
    {
        tally_.subtractUsage(counted);
        ++generation_;
        revision_ = 0;
        hasUnconfirmedWrite_ = false;
        attempted_.clear();
        confirmed_.clear();
        isDirty_ = true;
    }

    S &store_;
    const C &clock_;
    UsageWriterSettings settings_;
    UsageTally tally_;
    std::uint32_t generation_ = 1;
    StoreRevision revision_ = 0;

    /// Contents of the last write, whose outcome may be unknown.
    UsageSums attempted_;

    /// Sums that the store is known to contain.
    UsageSums confirmed_;
    UsageSums abandoned_;
    MonotonicTime unconfirmedSince_;
    bool hasUnconfirmedWrite_ = false;
    bool isDirty_ = false;
    bool isWriting_ = false;
};

} // namespace cowsliphead

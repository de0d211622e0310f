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

/// Keeps one incarnation's counter of one shard in the store. The counter is written as a whole each time, so a write whose
/// answer was lost does no harm; a generation that someone else froze is followed by a new one that holds the rest.
/// Models UsageSink.
template <Store S, Clock C>
class UsageWriter
{
public:
    /// Precondition: store and clock outlive the writer, which outlives all answers of the store. Thread safety: the store's task only.
    UsageWriter(S &store, const C &clock, const UsageWriterSettings &settings)
        : store_(store)
        , clock_(clock)
        , settings_(settings)
    {
    }

    /// Counts the entry; the next flush writes it. Thread safety: the store's task only.
    void take(const UsageEntry &entry)
    {
        isDirty_ = tally_.add(entry, usageWindowAt(clock_.wallNow(), settings_.windowLength_)) || isDirty_;
    }

    /// Writes what was counted since the last write, unless one is under way. Thread safety: the store's task only.
    void flush()
    {
        if (isWriting_ || (!isDirty_ && !isUnsettled_)) {
            return;
        }
        if (isUnsettled_ && clock_.now() - unsettledSince_ >= settings_.unconfirmedWriteTimeout_) {
            // A reporter may by now have frozen and erased the counter, so nothing must create it again.
            readBack();
        } else {
            write();
        }
    }

    /// True if all that was counted stands in the store for certain. Thread safety: the store's task only.
    bool isSettled() const
    {
        return !isDirty_ && !isUnsettled_ && !isWriting_;
    }

    /// Usage given up because it can't be told whether it was reported; it is not billed again. Thread safety: the store's task only.
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
        if (!std::exchange(isUnsettled_, true)) {
            unsettledSince_ = clock_.now();
        }
        attempted_ = tally_.counter().total_;
        StoreWrite write;
        write.key_ = key();
        write.value_ = usagecodec::encodeCounter(tally_.counter());
        write.expectedRevision_ = revision_;
        store_.compareAndSwap(write, [this](Result<StoreRevision> answer) {
            isWriting_ = false;
            if (answer) {
                settle(*answer);
            } else if (answer.error() == ErrorCode::StoreConflict) {
                readBack();
            } else {
                isDirty_ = true;
            }
        });
    }

    void settle(StoreRevision revision)
    {
        revision_ = revision;
        confirmed_ = attempted_;
        isUnsettled_ = false;
    }

    /// The counter is not as this process left it: a lost write took effect, or someone froze it.
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
                // Frozen and erased. What was attempted last may be in it: it counts as reported rather than twice.
                addUsage(abandoned_, usageDifference(attempted_, confirmed_));
                startGeneration(attempted_);
                return;
            }
            compare(**answer);
        });
    }

    void compare(const StoreEntry &entry)
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
        isUnsettled_ = false;
    }

    void startGeneration(const UsageSums &counted)
    {
        tally_.subtractUsage(counted);
        ++generation_;
        revision_ = 0;
        isUnsettled_ = false;
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

    /// What the write holds whose effect is not known.
    UsageSums attempted_;

    /// What stands in the store for certain.
    UsageSums confirmed_;
    UsageSums abandoned_;
    MonotonicTime unsettledSince_;
    bool isUnsettled_ = false;
    bool isDirty_ = false;
    bool isWriting_ = false;
};

} // namespace cowsliphead

#pragma once

#include <optional>

#include "core/errorcode.h"
#include "duty/scalebasecodec.h"
#include "duty/scaleplanner.h"
#include "logs/log.h"
#include "store/store.h"

namespace cowsliphead
{

/// Persists the scale base in the store, so that the next holder of the duty plans from the same base: from the endpoints that it sees it
/// cannot tell how many there were before any were ordered. Whoever knows the base writes it again after the store came back from a copy.
/// Thread safety: all members, on the store's task only.
template <Store S>
class ScaleBasePersistence
{
public:
    /// Precondition: store and planner outlive this object, which outlives the store's replies.
    ScaleBasePersistence(S &store, ScalePlanner &planner)
        : store_(store)
        , planner_(planner)
    {
    }

    /// Reads the base if it is not loaded; otherwise writes it if it has changed.
    void tick()
    {
        if (isCallPending_) {
            return;
        }
        if (!isLoaded()) {
            read();
        } else if (planner_.base() != stored_) {
            write();
        }
    }

    /// Writes the base again if the store has lost it; to be called by processes that hold the duty no longer.
    void restore()
    {
        isRestoring_ = !planner_.base().empty() && (!isReadInThisEra() || (isRestoring_ && planner_.base() != stored_));
        if (isRestoring_) {
            tick();
        }
    }

    /// True once the stored base has been merged into the planner's.
    bool isLoaded() const
    {
        return isLoaded_ && isReadInThisEra();
    }

    /// Makes the next tick() read the base again, because another process may have written it.
    void invalidate()
    {
        isLoaded_ = false;
    }

private:
    static constexpr const char *Key = "duty/scale-base";

    bool isReadInThisEra() const
    {
        return readInEra_ == store_.era();
    }

    void read()
    {
        isCallPending_ = true;
        store_.read(Key, [this](const Result<std::optional<StoreEntry>> &answer) {
            isCallPending_ = false;
            if (answer) {
                load(*answer);
            }
        });
    }

    void load(const std::optional<StoreEntry> &entry)
    {
        stored_.clear();
        revision_ = entry ? entry->revision_ : StoreRevision();
        if (entry) {
            const auto base = scalebasecodec::fromText(entry->value_);
            if (base) {
                stored_ = *base;
            } else {
                logEvent(LogEvent::ScaleBaseMalformed, { { "revision", entry->revision_.number_ } });
            }
        }
        planner_.restore(stored_);
        isLoaded_ = true;
        readInEra_ = store_.era();
    }

    void write()
    {
        isCallPending_ = true;
        StoreWrite write;
        write.key_ = Key;
        write.value_ = scalebasecodec::toText(planner_.base());
        write.expectedRevision_ = revision_;
        store_.compareAndSwap(write, [this, base = planner_.base()](const Result<StoreRevision> &answer) {
            isCallPending_ = false;
            if (answer) {
                stored_ = base;
                revision_ = *answer;
            } else {
                // Another holder wrote the key, or an answer was lost: read the key again.
                isLoaded_ = false;
            }
        });
    }

    S &store_;
    ScalePlanner &planner_;
    ScaleBase stored_;
    StoreRevision revision_;
    StoreEra readInEra_ = 0;
    bool isLoaded_ = false;
    bool isRestoring_ = false;
    bool isCallPending_ = false;
};

} // namespace cowsliphead

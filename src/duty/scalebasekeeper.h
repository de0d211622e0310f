#pragma once

#include <optional>

#include "core/errorcode.h"
#include "duty/scalebasecodec.h"
#include "duty/scaleplanner.h"
#include "logs/log.h"
#include "store/store.h"

namespace cowsliphead
{

/// Keeps the base of the server plan in the store, so that the next holder of the duty, which sees only what was ordered, plans from
/// the same one.
template <Store S>
class ScaleBaseKeeper
{
public:
    /// Precondition: store and planner outlive the keeper, which outlives the store's answers. Thread safety: the store's task only.
    ScaleBaseKeeper(S &store, ScalePlanner &planner)
        : store_(store)
        , planner_(planner)
    {
    }

    /// Reads the base if it is not known, and writes it if it has grown. Thread safety: the store's task only.
    void tick()
    {
        if (isAsking_) {
            return;
        }
        if (!isKnown_) {
            read();
        } else if (planner_.base() != stored_) {
            write();
        }
    }

    /// True once the store's base is part of the planner's. Thread safety: the store's task only.
    bool isKnown() const
    {
        return isKnown_;
    }

    /// Another process may have written since. Thread safety: the store's task only.
    void forget()
    {
        isKnown_ = false;
    }

private:
    static constexpr const char *Key = "duty/scale-base";

    void read()
    {
        isAsking_ = true;
        store_.read(Key, [this](const Result<std::optional<StoreEntry>> &answer) {
            isAsking_ = false;
            if (answer) {
                take(*answer);
            }
        });
    }

    void take(const std::optional<StoreEntry> &entry)
    {
        stored_.clear();
        revision_ = entry ? entry->revision_ : 0;
        if (entry) {
            const auto base = scalebasecodec::fromText(entry->value_);
            if (base) {
                stored_ = *base;
            } else {
                logEvent(LogEvent::ScaleBaseMalformed, { { "revision", entry->revision_ } });
            }
        }
        planner_.restore(stored_);
        isKnown_ = true;
    }

    void write()
    {
        isAsking_ = true;
        StoreWrite write;
        write.key_ = Key;
        write.value_ = scalebasecodec::toText(planner_.base());
        write.expectedRevision_ = revision_;
        store_.compareAndSwap(write, [this, base = planner_.base()](const Result<StoreRevision> &answer) {
            isAsking_ = false;
            if (answer) {
                stored_ = base;
                revision_ = *answer;
            } else {
                // Another holder wrote, or an answer was lost: what lies there is read again.
                isKnown_ = false;
            }
        });
    }

    S &store_;
    ScalePlanner &planner_;
    ScaleBase stored_;
    StoreRevision revision_ = 0;
    bool isKnown_ = false;
    bool isAsking_ = false;
};

} // namespace cowsliphead

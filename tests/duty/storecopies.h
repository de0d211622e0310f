#pragma once

#include <chrono>
#include <deque>
#include <utility>

#include "core/virtualclock.h"
#include "store/memorystore.h"

namespace cowsliphead
{

/// A store with eras, the copies that are made of it, and its return from one of them.
class StoreCopies
{
public:
    explicit StoreCopies(const VirtualClock &clock)
        : clock_(clock)
    {
        store_.setEra(1);
    }

    MemoryStore &store()
    {
        return store_;
    }

    /// To be called in each turn.
    void tick()
    {
        const auto now = clock_.now();
        if (copies_.empty() || now - copies_.back().first >= Interval) {
            copies_.emplace_back(now, store_);
        }
        while (now - copies_.front().first > MaxAge) {
            copies_.pop_front();
        }
    }

    /// The store comes back from the newest copy that is at least this old, or from the oldest one. Precondition: tick() was called.
    void restore(std::chrono::milliseconds age)
    {
        auto copy = copies_.front().second;
        for (const auto &[at, store] : copies_) {
            if (clock_.now() - at >= age) {
                copy = store;
            }
        }
        store_.restore(copy, clock_.now());
        copies_.clear();
        tick();
    }

private:
    static constexpr std::chrono::milliseconds Interval{ 100 };
    static constexpr std::chrono::seconds MaxAge{ 8 };

    const VirtualClock &clock_;
    MemoryStore store_;
    std::deque<std::pair<MonotonicTime, MemoryStore>> copies_;
};

} // namespace cowsliphead

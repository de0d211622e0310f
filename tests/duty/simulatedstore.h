#pragma once

#include <deque>
#include <functional>
#include <utility>

#include "core/errorcode.h"
#include "core/virtualclock.h"
#include "standin/standinfault.h"
#include "store/memorystore.h"
#include "store/storeeratracker.h"
#include "store/storerange.h"
#include "store/storereply.h"

namespace cowsliphead
{

/// Connection of one process to the shared store: replies are delivered when the process runs, and may be lost. Tells eras apart as the platform's
/// client does. Models Store.
class SimulatedStore
{
public:
    SimulatedStore(MemoryStore &store, const VirtualClock &clock)
        : store_(store)
        , clock_(clock)
    {
    }

    /// With StandinFault::Slow, a write takes effect only after its caller was told that the store is not available.
    void setFault(StandinFault fault)
    {
        fault_ = fault;
    }

    /// Applies the writes that the network delayed, except those sent so long ago that their connection has been closed.
    void releaseDelayedWrites()
    {
        for (const auto &[sentAt, write] : std::exchange(delayedWrites_, {})) {
            if (clock_.now() - sentAt <= MaxDelay) {
                write();
            }
        }
    }

    /// Invokes the pending replies. Returns false if there were none.
    bool deliver()
    {
        const auto due = std::exchange(due_, {});
        for (const auto &answer : due) {
            answer();
        }
        return !due.empty();
    }

    std::uint64_t callCount() const
    {
        return calls_;
    }

    void compareAndSwap(const StoreWrite &write, StoreReply<StoreRevision> reply)
    {
        if (const auto isAllowed = eras_.mayWrite(write); !isAllowed) {
            answer<StoreRevision>(tl::unexpected(isAllowed.error()), std::move(reply));
            return;
        }
        change<StoreRevision>(
            [this, write] {
                const auto written = store_.compareAndSwap(write, clock_.now());
                return written ? StoreEraTracker::outcomeOf(write, *written) : written;
            },
            std::move(reply));
    }

    void read(const std::string &key, StoreReply<std::optional<StoreEntry>> reply)
    {
        fetch<std::optional<StoreEntry>>([this, key] { return store_.read(key, clock_.now()); }, std::move(reply));
    }

    void list(const std::string &prefix, const std::string &after, std::size_t limit, StoreReply<std::vector<StoreEntry>> reply)
    {
        fetch<std::vector<StoreEntry>>([this, prefix, after, limit] { return store_.list(prefix, after, limit, clock_.now()); }, std::move(reply));
    }

    void range(const std::string &prefix, const std::string &after, StoreReply<StoreRange> reply)
    {
        constexpr std::size_t Limit = 500;
        fetch<StoreRange>(
            [this, prefix, after] {
                return StoreRange{ store_.list(prefix, after, Limit, clock_.now()), false, store_.revision() };
            },
            std::move(reply));
    }

    /// Only for keys that nothing depends on: the simulation keeps them.
    void erase(const std::vector<std::string> & /*keys*/, StoreReply<StoreRevision> reply)
    {
        change<StoreRevision>([this] { return Result<StoreRevision>(store_.revision()); }, std::move(reply));
    }

    void watch(const std::string &prefix, StoreRevision after, std::chrono::milliseconds /*wait*/, StoreReply<WatchAnswer> reply)
    {
        fetch<WatchAnswer>([this, prefix, after] { return store_.changesSince(prefix, after, clock_.now()); }, std::move(reply));
    }

    void grantLease(std::chrono::milliseconds duration, StoreReply<LeaseId> reply)
    {
        change<LeaseId>([this, duration] { return Result<LeaseId>(store_.grantLease(duration, clock_.now())); }, std::move(reply));
    }

    void renewLease(const LeaseId &lease, StoreReply<LeaseId> reply)
    {
        if (!eras_.mayName(lease)) {
            answer<LeaseId>(failure(ErrorCode::StoreLeaseUnknown), std::move(reply));
            return;
        }
        change<LeaseId>([this, lease] { return store_.renewLease(lease, clock_.now()); }, std::move(reply));
    }

    void revokeLease(const LeaseId &lease, StoreReply<LeaseId> reply)
    {
        change<LeaseId>([this, lease] { return store_.revokeLease(lease, clock_.now()); }, std::move(reply));
    }

    StoreEra era() const
    {
        return eras_.newest();
    }

private:
    static constexpr std::chrono::seconds MaxDelay{ 30 };

    template <typename T>
    void answer(Result<T> result, StoreReply<T> reply)
    {
        due_.push_back([this, era = store_.revision().era_, result = std::move(result), reply = std::move(reply)] {
            // A store that did not answer tells no era either.
            if (result || result.error() != ErrorCode::StoreUnavailable) {
                eras_.answered(era);
            }
            reply(result);
        });
    }

    template <typename T, typename Fetch>
    void fetch(Fetch fetch, StoreReply<T> reply)
    {
        ++calls_;
        const bool isDown = fault_ == StandinFault::Down;
        answer<T>(isDown ? Result<T>(failure(ErrorCode::StoreUnavailable)) : Result<T>(fetch()), std::move(reply));
    }

    template <typename T, typename Change>
    void change(Change change, StoreReply<T> reply)
    {
        ++calls_;
        Result<T> result = failure(ErrorCode::StoreUnavailable);
        if (fault_ == StandinFault::None) {
            result = change();
        } else if (fault_ == StandinFault::LoseAnswers) {
            change();
        } else if (fault_ == StandinFault::Slow) {
            delayedWrites_.emplace_back(clock_.now(), [change] { change(); });
        }
        answer<T>(std::move(result), std::move(reply));
    }

    MemoryStore &store_;
    const VirtualClock &clock_;
    StandinFault fault_ = StandinFault::None;
    std::deque<std::function<void()>> due_;
    std::deque<std::pair<MonotonicTime, std::function<void()>>> delayedWrites_;
    std::uint64_t calls_ = 0;
    StoreEraTracker eras_;
};

} // namespace cowsliphead

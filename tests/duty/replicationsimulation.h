#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/errorcode.h"
#include "core/virtualclock.h"
#include "duty/recordreplicator.h"
#include "duty/recordwriter.h"
#include "peer/peercodec.h"
#include "records/recordset.h"
#include "store/memorystore.h"

namespace cowsliphead
{

/// Queue of actions that are due at later points of virtual time.
class VirtualEvents
{
public:
    explicit VirtualEvents(VirtualClock &clock)
        : clock_(clock)
    {
    }

    void after(std::chrono::microseconds delay, std::function<void()> action)
    {
        events_.emplace(clock_.now() + delay, std::move(action));
    }

    /// Advances the clock by the duration and runs the actions that become due, in order of their times.
    void run(std::chrono::microseconds duration)
    {
        const auto end = clock_.now() + duration;
        while (!events_.empty() && events_.begin()->first <= end) {
            auto event = events_.extract(events_.begin());
            clock_.advance(event.key() - clock_.now());
            event.mapped()();
        }
        clock_.advance(end - clock_.now());
    }

private:
    VirtualClock &clock_;
    std::multimap<MonotonicTime, std::function<void()>> events_;
};

/// Faults between the store and one daemon or operator.
struct StorePath {
    bool isDown_ = false;
    bool losesWriteAnswers_ = false;
    /// The process is paused: replies to it are delayed until it continues.
    bool isPaused_ = false;
};

/// Connection of one daemon to the store, in virtual time. Models Store.
class VirtualStore
{
public:
    VirtualStore(MemoryStore &store, VirtualClock &clock, VirtualEvents &events, StorePath &path, std::uint64_t &calls)
        : store_(store)
        , clock_(clock)
        , events_(events)
        , path_(path)
        , calls_(calls)
    {
    }

    void compareAndSwap(const StoreWrite &write, StoreReply<StoreRevision> reply)
    {
        perform<StoreRevision>(true, std::move(reply), [this, write] { return store_.compareAndSwap(write, clock_.now()); });
    }
    void read(const std::string &key, StoreReply<std::optional<StoreEntry>> reply)
    {
        perform<std::optional<StoreEntry>>(false, std::move(reply), [this, key] { return Result<std::optional<StoreEntry>>(store_.read(key, clock_.now())); });
    }
    void list(const std::string &prefix, const std::string &after, std::size_t limit, StoreReply<std::vector<StoreEntry>> reply)
    {
        perform<std::vector<StoreEntry>>(
            false, std::move(reply), [this, prefix, after, limit] { return Result<std::vector<StoreEntry>>(store_.list(prefix, after, limit, clock_.now())); });
    }
    void watch(const std::string &prefix, StoreRevision after, std::chrono::milliseconds wait, StoreReply<WatchAnswer> reply)
    {
        ++calls_;
        poll(prefix, after, clock_.now() + wait, std::move(reply));
    }
    void grantLease(std::chrono::milliseconds duration, StoreReply<LeaseId> reply)
    {
        perform<LeaseId>(true, std::move(reply), [this, duration] { return Result<LeaseId>(store_.grantLease(duration, clock_.now())); });
    }
    void renewLease(const LeaseId &lease, StoreReply<LeaseId> reply)
    {
        perform<LeaseId>(true, std::move(reply), [this, lease] { return store_.renewLease(lease, clock_.now()); });
    }
    void revokeLease(const LeaseId &lease, StoreReply<LeaseId> reply)
    {
        perform<LeaseId>(true, std::move(reply), [this, lease] { return store_.revokeLease(lease, clock_.now()); });
    }

    StoreEra era() const
    {
        return 0;
    }

private:
    static constexpr std::chrono::milliseconds Delay{ 2 };
    static constexpr std::chrono::milliseconds FailDelay{ 2000 };
    static constexpr std::chrono::milliseconds PollInterval{ 20 };

    template <typename T>
    void perform(bool isWrite, StoreReply<T> reply, std::function<Result<T>()> operation)
    {
        ++calls_;
        events_.after(Delay, [this, isWrite, reply = std::move(reply), operation = std::move(operation)] {
            if (path_.isDown_) {
                deliverReply<T>(FailDelay, reply, failure(ErrorCode::StoreUnavailable));
                return;
            }
            auto result = operation();
            if (isWrite && path_.losesWriteAnswers_) {
                deliverReply<T>(FailDelay, reply, failure(ErrorCode::StoreUnavailable));
            } else {
                deliverReply<T>(Delay, reply, std::move(result));
            }
        });
    }

    template <typename T>
    void deliverReply(std::chrono::milliseconds delay, StoreReply<T> reply, Result<T> result)
    {
        events_.after(delay, [this, delay, reply = std::move(reply), result = std::move(result)] {
            if (path_.isPaused_) {
                deliverReply<T>(delay, reply, result);
            } else {
                reply(result);
            }
        });
    }

    void poll(const std::string &prefix, StoreRevision after, MonotonicTime until, StoreReply<WatchAnswer> reply)
    {
        events_.after(PollInterval, [this, prefix, after, until, reply = std::move(reply)] {
            if (path_.isDown_) {
                deliverReply<WatchAnswer>(FailDelay, reply, failure(ErrorCode::StoreUnavailable));
                return;
            }
            auto found = store_.changesSince(prefix, after, clock_.now());
            if (found && found->entries_.empty() && clock_.now() < until) {
                poll(prefix, after, until, reply);
            } else {
                deliverReply<WatchAnswer>(Delay, reply, std::move(found));
            }
        });
    }

    MemoryStore &store_;
    VirtualClock &clock_;
    VirtualEvents &events_;
    StorePath &path_;
    std::uint64_t &calls_;
};

class ReplicationSimulation;

/// Sends one daemon's queries over the simulated network. Models PeerLink.
class VirtualLink
{
public:
    VirtualLink(ReplicationSimulation &simulation, std::size_t from)
        : simulation_(simulation)
        , from_(from)
    {
    }

    void sendQuery(const PeerAddress &peer, const RecordQuery &query);

private:
    ReplicationSimulation &simulation_;
    std::size_t from_;
};

/// One instance and its current run, if it is running.
struct VirtualDaemon {
    using Replicator = RecordReplicator<VirtualClock, VirtualStore, VirtualLink>;

    std::uint64_t incarnation_ = 0;
    /// Disconnected from all peers and the store.
    bool isDisconnected_ = false;
    StorePath path_;
    std::unique_ptr<VirtualStore> store_;
    std::unique_ptr<VirtualLink> link_;
    std::unique_ptr<Replicator> replicator_;
    RecordSnapshot snapshot_;
    MonotonicTime confirmedAt_ = MonotonicTime::min();
    std::uint64_t bytesSent_ = 0;
    std::uint64_t bytesReceived_ = 0;
    /// Set if the snapshot's revision decreased within one run.
    bool hasReverted_ = false;
};

/// Simulates daemons in several failure domains, a store and the network between them, in virtual time.
class ReplicationSimulation
{
public:
    static constexpr std::size_t DomainCount = 7;

    ReplicationSimulation(std::size_t daemonCount, std::uint64_t seed);
    ~ReplicationSimulation();

    void start(std::size_t index);
    void kill(std::size_t index);
    void run(std::chrono::milliseconds duration);

    /// Appends a change as an operator; done receives the revision once it is certain.
    void write(const Change &change, std::function<void(Result<Revision>)> done);
    /// Puts an account or withdraws it, and runs until the revision is certain.
    Revision writeNow(const std::string &account, bool isPut = true);

    /// Returns the daemons that are running and connected, but do not have the revision.
    std::vector<std::size_t> daemonsBehind(Revision revision) const;
    /// Runs until all daemons that are running and connected have the revision. Returns the time that this took; nothing if it takes longer
    /// than the limit.
    std::optional<std::chrono::milliseconds> timeUntilAllHave(Revision revision, std::chrono::milliseconds limit);
    std::size_t relayCount() const;

    VirtualClock clock_;
    VirtualEvents events_{ clock_ };
    MemoryStore memory_;
    StorePath operatorPath_;
    std::uint64_t storeCalls_ = 0;
    std::uint64_t operatorCalls_ = 0;
    std::vector<VirtualDaemon> daemons_;
    /// Percentage of lost messages.
    int lossPercent_ = 0;
    bool isStoreDown_ = false;

private:
    friend class VirtualLink;

    struct Operator;

    void deliver(std::size_t from, const PeerAddress &peer, const RecordQuery &query);
    void answerTo(std::size_t from, std::size_t to, const std::string &bytes);
    void deliverReply(std::size_t from, std::size_t to, std::uint64_t run, const std::string &answer);
    void tick(std::size_t index, std::uint64_t incarnation);
    bool isReachable(std::size_t index) const;
    bool isConnected(std::size_t index) const;
    bool isLost();
    PeerAddress addressOf(std::size_t index) const;

    std::mt19937_64 random_;
    std::vector<std::unique_ptr<Operator>> operators_;
    /// Runs that have ended, kept because pending events may still refer to them.
    std::vector<VirtualDaemon> ended_;
};

} // namespace cowsliphead

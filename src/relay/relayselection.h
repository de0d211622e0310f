#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "core/time.h"
#include "relay/relayentry.h"
#include "relay/relayrole.h"
#include "relay/relaystatus.h"
#include "relay/relaystep.h"

namespace cowsliphead
{

/// Decides whether a gateway reads the store itself as the relay of its failure domain, or which gateway it asks instead.
///
/// A relay is no duty: two relays in one failure domain only cost calls to the store. So none needs a lease. A gateway keeps to its relay
/// while it answers and the store answers it. Otherwise it asks the next gateway of the failure domain, in an order that is the same for
/// all; who is asked for a relay that has failed becomes a relay, unless that relay still answers it. Relays that find another one in the store's entry yield
/// to it. While the store is down each gateway in turn tries to reach it, at growing intervals, so that an outage does not multiply the calls. Thread safety:
/// owner task only.
class RelaySelection
{
public:
    /// Bounds of the time without an answer after which a relay is replaced: several round trips and a lost packet, and a part of the time
    /// within which endpoints that leave have to be known.
    static constexpr std::chrono::milliseconds MinSilenceTimeout{ 450 };
    static constexpr std::chrono::milliseconds MaxSilenceTimeout{ 1000 };

    /// silenceTimeout: time without an answer after which a relay is replaced. seed: for random delays.
    RelaySelection(GatewayMember self, std::chrono::milliseconds silenceTimeout, std::uint64_t seed);

    RelayRole role() const
    {
        return role_;
    }

    /// The gateway to ask; absent for a relay that needs no other.
    const std::optional<PeerAddress> &target() const
    {
        return target_;
    }

    /// The relay that this gateway found unusable last, to be passed on in its queries.
    const std::optional<PeerAddress> &unusableRelay() const
    {
        return unusable_;
    }

    /// What to tell other gateways.
    RelayStatus status(MonotonicTime now) const;

    /// Handles the time that has passed. To be called several times within the shortest timeout.
    void update(MonotonicTime now);

    /// Returns the call to the store that is due. The owner reports its result by one of the following four.
    RelayStep nextStep(MonotonicTime now);
    void entriesRead(const std::vector<RelayEntry> &entries, MonotonicTime now);
    void entryWritten(MonotonicTime now);
    void entryConflict(MonotonicTime now);
    void storeUnavailable(MonotonicTime now);

    /// A gateway answered a query.
    void answered(const PeerAddress &from, const RelayStatus &status, MonotonicTime now);

    /// A gateway asks this one; unusable: the relay that it cannot use.
    void queried(const std::optional<PeerAddress> &unusable, MonotonicTime now);

    /// As a relay: whether the store answers its reads.
    void setStoreReachable(bool isReachable, MonotonicTime now);

    /// The gateways of the failure domain as its relay lists them, in the same order at each of them.
    void setMembers(std::vector<GatewayMember> members);

    /// As a relay: the gateways that ask this one. The others that were known before stay candidates: a new relay has not heard of all.
    void mergeMembers(const std::vector<GatewayMember> &members);

    /// The process is stopping: others have to find another relay.
    void leave();

    /// Since when the store has not answered this gateway's relays; absent if it answers them, or if none is known.
    const std::optional<MonotonicTime> &storeAwaySince() const
    {
        return storeAwaySince_;
    }

private:
    enum class StoreState {
        Unknown,
        Reachable,
        Unreachable,
    };

    /// A gateway whose relay answered it within this time vouches for the relay: the one who asks missed a single answer, or is cut off from
    /// the relay alone.
    static constexpr std::chrono::milliseconds VouchTime{ 350 };

    /// How long a gateway that failed is not asked again.
    static constexpr std::chrono::milliseconds FailureMemory{ 5000 };

    /// How long a gateway that failed is not asked even if another one names it as its relay.
    static constexpr std::chrono::milliseconds RedirectMemory{ 1000 };

    /// Interval at which a relay checks the entry of its failure domain.
    static constexpr std::chrono::milliseconds CheckInterval{ 5000 };

    /// Gateways without the store after which a gateway tries to read it itself: the store may turn away just those.
    static constexpr int MaxFailures = 2;

    /// Silent gateways after which a gateway reads the store itself: it may be the one that is cut off.
    static constexpr int MaxSilent = 2;

    static constexpr std::chrono::milliseconds MaxStartDelay{ 300 };
    static constexpr std::chrono::milliseconds MaxConflictDelay{ 100 };
    static constexpr std::chrono::milliseconds MinBackoff{ 150 };
    static constexpr std::chrono::milliseconds MaxBackoff{ 2000 };

    /// How long a gateway that is asked after a failure may take until the store answers it; doubles with each further one.
    static constexpr std::chrono::milliseconds MinDwell{ 500 };
    static constexpr std::chrono::milliseconds MaxDwell{ 4000 };

    /// How long a relay that was chosen in an outage, and does not reach the store either, leaves the search to its members.
    static constexpr std::chrono::milliseconds SearchDelay{ 2000 };

    std::chrono::milliseconds randomUpTo(std::chrono::milliseconds limit);
    std::chrono::milliseconds dwell() const;
    bool isTargetHealthy(MonotonicTime now) const;
    bool isSearching() const;
    bool mayFollow(const PeerAddress &redirect, MonotonicTime now) const;
    void setTarget(const PeerAddress &address, MonotonicTime now);
    void targetFailed(bool isSilent, MonotonicTime now);
    void chooseCandidate(MonotonicTime now);
    void becomeRelay(MonotonicTime now);
    void follow(const PeerAddress &address, MonotonicTime now);
    void handleOwnEntry(const std::optional<RelayEntry> &entry, MonotonicTime now);

    GatewayMember self_;
    std::chrono::milliseconds silenceTimeout_;
    std::minstd_rand random_;
    RelayRole role_ = RelayRole::Undecided;
    std::vector<GatewayMember> members_;
    struct Failure {
        MonotonicTime at_;
        bool isSilent_ = false;
    };

    std::map<PeerAddress, Failure> failed_;

    std::optional<PeerAddress> target_;
    std::optional<PeerAddress> unusable_;

    /// The relay that does not answer this gateway, and that another one vouched for.
    std::optional<PeerAddress> vouchedFor_;
    MonotonicTime answeredAt_;
    MonotonicTime chosenAt_;
    MonotonicTime fitAt_;
    MonotonicTime searchAt_;
    std::optional<MonotonicTime> storeAwaySince_;

    /// The target has been fit since it was chosen.
    bool wasFit_ = false;

    /// Targets that failed since the last one that was fit, and how many of them were silent.
    int failures_ = 0;
    int silentFailures_ = 0;

    StoreState store_ = StoreState::Unknown;
    bool isLeaving_ = false;

    MonotonicTime nextCallAt_;
    std::chrono::milliseconds backoff_ = MinBackoff;
    bool isCallPending_ = false;
    bool wasEntryAbsent_ = false;

    /// Set if the entry is to be written; the revision that it must have.
    std::optional<StoreRevision> writeRevision_;
};

} // namespace cowsliphead

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "core/virtualclock.h"
#include "relay/relayselection.h"

/// Gateways that choose their relays in virtual time, with a store, and connections that can be cut in one direction.
class RelaySimulation
{
public:
    /// Precondition: both numbers are positive.
    RelaySimulation(int gateways, int domains, std::uint64_t seed);

    void runFor(std::chrono::milliseconds duration);

    /// Ends a gateway's process without notice.
    void kill(int gateway);

    /// Starts a killed gateway again, as another process at the same address.
    void restart(int gateway);

    /// A paused gateway does nothing and answers nothing.
    void setPaused(int gateway, bool isPaused);

    /// Lets the store turn away a gateway.
    void setRefused(int gateway, bool isRefused);
    void setStoreUp(bool isUp);

    /// Cuts the messages from one gateway to another.
    void cut(int from, int to);
    void healAll();

    /// Announces that a gateway's process is stopping.
    void leave(int gateway);

    /// The first gateway that is a relay, of the failure domain of the given gateway; -1 if there is none.
    int relayOf(int gateway) const;

    /// True if the gateway is running and is a relay.
    bool isRelay(int gateway) const;

    /// Number of running gateways that are relays.
    int relayCount() const;

    /// True if the gateway was a relay that the store answers, or asked one, within the last three ticks: when a relay yields to another
    /// one, its members learn of that with their next query.
    bool isServed(int gateway) const;

    /// True if that holds for all running gateways.
    bool areAllServed() const;

    /// Calls to the store since the last call of this function, refused ones included.
    int takeCalls();

private:
    struct Gateway {
        cowsliphead::GatewayMember member_;
        std::optional<cowsliphead::RelaySelection> selection_;
        std::map<cowsliphead::PeerAddress, cowsliphead::MonotonicTime> heardAt_;
        cowsliphead::MonotonicTime relaySince_;
        int runs_ = 0;
        bool isPaused_ = false;
        bool isRefused_ = false;
        bool isReading_ = false;
        cowsliphead::MonotonicTime servedAt_;
        cowsliphead::MonotonicTime triedAt_;
    };

    void start(int gateway);
    void tick(int gateway);
    void read(Gateway &gateway);
    void callStore(Gateway &gateway);
    void ask(int asking);
    bool isReachable(int from, int to) const;
    bool isServedNow(int gateway) const;
    std::vector<cowsliphead::GatewayMember> membersHeardBy(const Gateway &relay) const;
    int indexOf(const cowsliphead::PeerAddress &address) const;

    cowsliphead::VirtualClock clock_;
    std::uint64_t seed_;
    int domains_;
    std::vector<Gateway> gateways_;
    std::map<cowsliphead::FailureDomain, cowsliphead::RelayEntry> entries_;
    cowsliphead::StoreRevision revision_ = 1;
    std::set<std::pair<int, int>> cuts_;
    bool isStoreUp_ = true;
    int calls_ = 0;
};

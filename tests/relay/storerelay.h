#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "core/virtualclock.h"
#include "fleet/fakestore.h"
#include "fleet/registry.h"
#include "platform/platformfleetcodec.h"
#include "relay/fleetstate.h"
#include "task/eventloop.h"

/// A gateway that reads the endpoints' entries from a store as the relay of its failure domain, in virtual time.
class StoreRelay
{
public:
    using State = cowsliphead::FleetState<cowsliphead::PlatformFleetCodec>;

    /// Precondition: the clock outlives the relay.
    explicit StoreRelay(const cowsliphead::VirtualClock &clock);

    /// An endpoint's entry, written at a revision.
    static cowsliphead::StoreEntry entry(const std::string &id, cowsliphead::StoreRevision revision, const std::string &state = "ready");

    static cowsliphead::StoreEntry removal(const std::string &id, cowsliphead::StoreRevision revision);

    /// Answers the first read of the store, or the one after lostHistory().
    void read(std::vector<cowsliphead::StoreEntry> entries, cowsliphead::StoreRevision revision);

    /// Answers the watch.
    void change(std::vector<cowsliphead::StoreEntry> entries, cowsliphead::StoreRevision revision);

    /// The store does not answer the watch.
    void loseStore();

    /// Lets the time pass after which kept entries are given up.
    void expire();

    State &state();

private:
    cowsliphead::EventLoop loop_;
    FakeStore store_;
    const cowsliphead::VirtualClock &clock_;
    State state_;
    cowsliphead::Registry<FakeStore, cowsliphead::PlatformFleetCodec, cowsliphead::VirtualClock> registry_;
};

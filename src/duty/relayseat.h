#pragma once

#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/errorcode.h"
#include "decide/membership.h"
#include "decide/relayelection.h"
#include "duty/relaycodec.h"
#include "store/store.h"

namespace cowsliphead
{

/// Carries out the election of relays in the store: takes a vacant slot under a lease and renews it.
template <Clock C, Store S>
class RelaySeat
{
public:
    /// Precondition: clock, store and members outlive the seat. Thread safety: the store's task only.
    RelaySeat(const C &clock, S &store, Membership &members, std::uint64_t seed)
        : clock_(clock)
        , store_(store)
        , members_(members)
        , election_(seed)
    {
    }

    /// Does what is due. eligibleRelays counts the other relays of the failure domain that answer. Thread safety: the store's task only.
    void tick(std::size_t eligibleRelays)
    {
        const auto now = clock_.now();
        switch (election_.next(eligibleRelays, now)) {
        case RelayElection::Step::Nothing:
            break;
        case RelayElection::Step::AcquireSlot:
            lookForSlot();
            break;
        case RelayElection::Step::Renew:
            renew();
            break;
        }
    }

    /// True while this daemon is a relay. Thread safety: the store's task only.
    bool isRelay() const
    {
        return election_.isRelay(clock_.now());
    }

private:
    void lookForSlot()
    {
        const auto prefix = relaycodec::slotPrefix(members_.self().failureDomain_);
        store_.list(prefix, prefix, RelayElection::SlotCount, [this](Result<std::vector<StoreEntry>> answer) {
            if (!answer) {
                election_.notHeld(clock_.now());
                return;
            }
            std::set<std::string> taken;
            for (const auto &entry : *answer) {
                taken.insert(entry.key_);
                if (const auto holder = relaycodec::decodeHolder(entry.value_)) {
                    members_.mergeMember(*holder, clock_.now());
                }
            }
            takeVacantSlot(taken);
        });
    }

    void takeVacantSlot(const std::set<std::string> &taken)
    {
        for (std::size_t slot = 0; slot < RelayElection::SlotCount; ++slot) {
            const auto key = relaycodec::slotKey(members_.self().failureDomain_, slot);
            if (!taken.contains(key)) {
                grant(key);
                return;
            }
        }
        election_.notHeld(clock_.now());
    }

    void grant(const std::string &key)
    {
        const auto askedAt = clock_.now();
        store_.grantLease(RelayElection::LeaseDuration, [this, key, askedAt](Result<LeaseId> lease) {
            if (lease) {
                take(key, *lease, askedAt);
            } else {
                election_.notHeld(clock_.now());
            }
        });
    }

    void take(const std::string &key, const LeaseId &lease, MonotonicTime askedAt)
    {
        auto holder = members_.self();
        // The entry replaces what the others have heard before.
        ++holder.heartbeat_;
        StoreWrite write;
        write.key_ = key;
        write.value_ = relaycodec::encodeHolder(holder);
        write.lease_ = lease;
        store_.compareAndSwap(write, [this, lease, askedAt](Result<StoreRevision> written) {
            if (written) {
                lease_ = lease;
                election_.held(askedAt);
            } else {
                // If the write took effect all the same, the slot lapses with the lease.
                election_.notHeld(clock_.now());
            }
        });
    }

    void renew()
    {
        const auto askedAt = clock_.now();
        store_.renewLease(lease_, [this, askedAt](Result<LeaseId> answer) {
            if (answer) {
                election_.held(askedAt);
            } else if (answer.error() == ErrorCode::StoreLeaseUnknown) {
                election_.notHeld(clock_.now());
            } else {
                election_.renewalUnanswered(clock_.now());
            }
        });
    }

    const C &clock_;
    S &store_;
    Membership &members_;
    RelayElection election_;
    LeaseId lease_;
};

} // namespace cowsliphead

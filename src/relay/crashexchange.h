#pragma once

#include <cstdint>
#include <map>

#include "core/instanceid.h"
#include "core/time.h"
#include "decide/crashregister.h"
#include "decide/crashreports.h"
#include "decide/peeraddress.h"
#include "relay/crashanswer.h"
#include "relay/crashquery.h"
#include "task/address.h"

namespace cowsliphead
{

/// Spreads what gateways saw of crashes and answers: between the gateway task and the relay of the failure domain, and between the
/// relays. Each side tells the other what changed since the exchange before. Thread safety: owner task only.
class CrashExchange
{
public:
    /// self: this run of the process. gateway: the task that dispatches requests; it hears of each change.
    CrashExchange(InstanceId self, Address<CrashReports> gateway);

    /// The gateway task, or the store, has reports.
    void received(const CrashReports &reports, MonotonicTime now);

    /// Returns the part of the next query to a gateway.
    CrashQuery queryFor(const PeerAddress &peer, MonotonicTime now);

    /// The gateway asked last at this address has answered. incarnation: its process.
    void answered(const PeerAddress &peer, const InstanceId &incarnation, const CrashAnswer &answer, MonotonicTime now);

    /// Returns the answer to a query of another gateway.
    CrashAnswer answer(const CrashQuery &query, MonotonicTime now);

    const CrashRegister &crashes() const
    {
        return crashes_;
    }

private:
    /// What this gateway and another one have of each other's registers.
    struct Peer {
        InstanceId incarnation_;

        /// The version of the other one's register that this gateway has.
        std::uint64_t received_ = 0;

        /// The versions of this gateway's register that the other one has, and that the last query led to.
        std::uint64_t delivered_ = 0;
        std::uint64_t sent_ = 0;
    };

    void publish(MonotonicTime now);

    InstanceId self_;
    Address<CrashReports> gateway_;
    CrashRegister crashes_;
    std::map<PeerAddress, Peer> peers_;
    std::uint64_t publishedVersion_ = 0;
};

} // namespace cowsliphead

#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/failuredomain.h"
#include "core/time.h"
#include "relay/endpointstatereceivers.h"
#include "relay/relayconnections.h"
#include "relay/relaycontext.h"
#include "relay/relayentry.h"
#include "relay/relaymessagecodec.h"

namespace cowsliphead
{

/// The dialogue of a relay with the relays of the other failure domains. Thread safety: all members, on the loop's task only.
template <RangedStore S, FleetCodec Codec, Clock C>
class DomainExchange
{
public:
    using Context = RelayContext<S, Codec, C>;

    /// Precondition: context and connections outlive the object, and there are peers when one of its methods is called.
    DomainExchange(Context &context, RelayConnections &connections)
        : context_(context)
        , connections_(connections)
    {
    }

    /// The store names the relays of all failure domains.
    void setRelays(const std::vector<RelayEntry> &entries)
    {
        const auto now = context_.clock_.now();
        firstReadAt_ = firstReadAt_.value_or(now);
        areDomainsKnown_ = areDomainsKnown_ || now - *firstReadAt_ >= SettleTime;
        relays_.clear();
        for (const auto &entry : entries) {
            if (entry.relay_.domain_ != context_.self_.domain_) {
                relays_[entry.relay_.domain_] = entry.relay_.address_;
            }
        }
    }

    /// Records the size of the fleet. A failure domain that has not reported yet is taken to be as large as this one.
    void recordFleetSize(MonotonicTime now)
    {
        std::size_t gateways = context_.domainSize_;
        for (const auto &[domain, address] : relays_) {
            gateways += context_.board_.gatewaysIn(domain, now).value_or(context_.domainSize_);
        }
        context_.fleetSize_.record(gateways, now);
    }

    /// Returns how many retries of each service the pool of this failure domain may hold: its part of what the pools of all failure domains
    /// hold. Zero until the failure domains are known.
    std::uint64_t retryPoolLimit() const
    {
        if (!areDomainsKnown_) {
            return 0;
        }
        const auto domains = static_cast<double>(relays_.size() + 1);
        return static_cast<std::uint64_t>(std::max(context_.local_.retryPoolLimit_, 0.0) / domains);
    }

    /// Asks the other relays if the interval has passed.
    void ask(MonotonicTime now)
    {
        if (now - askedAt_ < Interval) {
            return;
        }
        askedAt_ = now;
        RelayQuery query;
        query.from_ = context_.self_;
        query.isFromRelay_ = true;
        for (const auto &[domain, address] : relays_) {
            if (connections_.mayAsk(address, now)) {
                query.crashes_ = context_.quarantine_.queryFor(address);
                connections_.ask(address, relaymessagecodec::encode(query), now);
            }
        }
    }

    /// Fills in the answer to the relay of another failure domain.
    void answer(const RelayQuery &query, RelayAnswer &answer, MonotonicTime now)
    {
        answer.status_ = context_.selection_->status(now);
        answer.loads_ = context_.board_.domainTotal(now);
        answer.gateways_ = context_.members_.size();
        answer.crashes_ = context_.quarantine_.answer(query.crashes_);
        auto &updates = receivers_.updatesFor(query.from_.incarnation_, now);
        if (updates.observations_.isDue(now)) {
            answer.observations_ = updates.observations_.take(context_.observations_.domainTotal(now), now);
        }
        answer.failures_ = updates.failures_.take(context_.failures_.domainTotal(now), now);
    }

    /// A gateway of another failure domain has answered.
    void answered(const PeerAddress &peer, const RelayAnswer &answer, MonotonicTime now)
    {
        const auto &domain = answer.from_.domain_;
        context_.quarantine_.answered(peer, answer.from_.incarnation_, answer.crashes_);
        if (answer.status_.isRelay_) {
            context_.board_.reportDomain(domain, answer.loads_, answer.gateways_, now);
            context_.observations_.report({ domain, {} }, answer.observations_, now);
            context_.failures_.report({ domain, {} }, answer.failures_, now);
        } else if (answer.status_.redirect_) {
            relays_[domain] = *answer.status_.redirect_;
        }
    }

private:
    /// The bytes of these queries cross failure domains.
    static constexpr std::chrono::milliseconds Interval{ 300 };

    /// When a fleet starts, the first reads of the entries find the relays of only some failure domains. Relays read them again every five
    /// seconds.
    static constexpr std::chrono::seconds SettleTime{ 3 };

    Context &context_;
    RelayConnections &connections_;
    std::map<FailureDomain, PeerAddress> relays_;
    MonotonicTime askedAt_;
    EndpointStateReceivers receivers_;

    /// When the entries of the relays were read first, and whether they were read again after SettleTime.
    std::optional<MonotonicTime> firstReadAt_;
    bool areDomainsKnown_ = false;
};

} // namespace cowsliphead

#pragma once

#include <chrono>

#include "core/time.h"
#include "relay/endpointstatereceivers.h"
#include "relay/observationupdates.h"
#include "relay/relayanswer.h"
#include "relay/relaycontext.h"
#include "relay/relayquery.h"

namespace cowsliphead
{

/// The dialogue of a relay with the gateways of its failure domain: those that ask it, and its own. Thread safety: all members, on the loop's
/// task only.
template <RangedStore S, FleetCodec Codec, Clock C>
class MemberExchange
{
public:
    using Context = RelayContext<S, Codec, C>;

    /// Precondition: the context outlives the object.
    explicit MemberExchange(Context &context)
        : context_(context)
    {
    }

    /// Takes the report of this process's own gateway, and returns what the others know. Precondition: this gateway is a relay.
    FleetLoad exchangeOwn(MonotonicTime now)
    {
        const auto &self = context_.self_.incarnation_;
        const auto &local = context_.local_;
        report(self, local.loads_, ownUpdates_.isDue(now) ? ownUpdates_.take(local.observations_, now) : EndpointObservations(), local.failures_, now);
        return { differenceOf(context_.board_.fleetTotal(now), local.loads_),
                 context_.observations_.fleetWithout(self, now),
                 context_.failures_.fleetWithout(self, now),
                 self,
                 context_.retryPool_.exchange(self, context_.deposits_.reportTo(context_.self_.address_, local.retryDeposits_), now) };
    }

    /// Fills in the answer to a gateway of the failure domain. Precondition: this gateway is a relay.
    void answer(const RelayQuery &query, RelayAnswer &answer, MonotonicTime now)
    {
        if (query.isLeaving_) {
            context_.members_.left(query.from_);
        } else {
            context_.members_.heard(query.from_, now);
        }
        const auto &asking = query.from_.incarnation_;
        report(asking, query.loads_, query.observations_, query.failures_, now);
        context_.usage_.received(query.counts_);
        answer.stored_ = context_.usage_.storedOf(asking);
        answer.crashes_ = context_.quarantine_.answer(query.crashes_);
        addFleetState(query, answer, now);
        answer.membersVersion_ = context_.members_.version();
        if (query.membersOf_ != context_.self_.incarnation_ || query.members_ != context_.members_.version()) {
            answer.members_ = context_.members_.members();
        }
        answer.gateways_ = context_.fleetSize_.value(now);
        answer.loads_ = context_.board_.fleetTotal(now);
        auto &updates = receivers_.updatesFor(asking, now);
        if (updates.observations_.isDue(now)) {
            answer.observations_ = updates.observations_.take(context_.observations_.fleetWithout(asking, now), now);
        }
        answer.failures_ = updates.failures_.take(context_.failures_.fleetWithout(asking, now), now);
        answer.retryGrants_ = context_.retryPool_.exchange(asking, query.retryDeposits_, now);
    }

private:
    void
    report(const InstanceId &gateway, const EndpointLoads &loads, const EndpointObservations &observations, const EndpointFailures &failures, MonotonicTime now)
    {
        context_.board_.reportGateway(gateway, loads, now);
        context_.observations_.report({ {}, gateway }, observations, now);
        context_.failures_.report({ {}, gateway }, failures, now);
    }

    void addFleetState(const RelayQuery &query, RelayAnswer &answer, MonotonicTime now)
    {
        auto &state = context_.state_;
        answer.configuration_ = state.configurations().revision();
        if (context_.confirmedAt_) {
            answer.configurationAge_ = std::chrono::ceil<std::chrono::milliseconds>(now - *context_.confirmedAt_);
        }
        answer.configurationUpdate_ = state.configurations().updateFor(query.configuration_);
        answer.endpointUpdate_ = state.endpointUpdateFor(query.endpoints_, now);
        answer.endpoints_ = state.endpointVersion().revision_;
    }

    Context &context_;
    EndpointStateReceivers receivers_;

    /// What this process's own gateway has reported.
    ObservationUpdates ownUpdates_;
};

} // namespace cowsliphead

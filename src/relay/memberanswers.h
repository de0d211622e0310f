#pragma once

#include <chrono>

#include "core/time.h"
#include "relay/relayanswer.h"
#include "relay/relaycontext.h"
#include "relay/relayquery.h"

namespace cowsliphead
{

/// The dialogue of a relay with the gateways of its failure domain that ask it. Thread safety: all members, on the loop's task only.
template <RangedStore S, FleetCodec Codec, Clock C>
class MemberAnswers
{
public:
    using Context = RelayContext<S, Codec, C>;

    /// Precondition: the context outlives the object.
    explicit MemberAnswers(Context &context)
        : context_(context)
    {
    }

    /// Fills in the answer to a gateway of the failure domain. Precondition: this gateway is a relay.
    void answer(const RelayQuery &query, RelayAnswer &answer, MonotonicTime now)
    {
        if (query.isLeaving_) {
            context_.members_.left(query.from_);
        } else {
            context_.members_.heard(query.from_, now);
        }
        context_.board_.reportGateway(query.from_.incarnation_, query.loads_, now);
        context_.usage_.received(query.counts_);
        answer.stored_ = context_.usage_.storedOf(query.from_.incarnation_);
        answer.crashes_ = context_.quarantine_.answer(query.crashes_);
        addFleetState(query, answer, now);
        answer.membersVersion_ = context_.members_.version();
        if (query.membersOf_ != context_.self_.incarnation_ || query.members_ != context_.members_.version()) {
            answer.members_ = context_.members_.members();
        }
        answer.gateways_ = context_.fleetSize_.value(now);
        answer.loads_ = context_.board_.fleetTotal(now);
    }

private:
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
};

} // namespace cowsliphead

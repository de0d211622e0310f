#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>

#include "core/result.h"
#include "core/time.h"
#include "logs/log.h"
#include "relay/addresstext.h"
#include "relay/failureboard.h"
#include "relay/observationboard.h"
#include "relay/observationupdates.h"
#include "relay/relayconnections.h"
#include "relay/relaycontext.h"
#include "relay/relaymessagecodec.h"

namespace cowsliphead
{

/// The dialogue of a gateway with the gateway of its failure domain that it asks, mostly its relay. Thread safety: all members, on the
/// loop's task only.
template <RangedStore S, FleetCodec Codec, Clock C>
class TargetExchange
{
public:
    using Context = RelayContext<S, Codec, C>;

    /// Precondition: context and connections outlive the object, and there are peers when one of its methods is called.
    TargetExchange(Context &context, RelayConnections &connections)
        : context_(context)
        , connections_(connections)
    {
    }

    /// Asks the target, if there is one and no query to it is under way.
    void ask(MonotonicTime now)
    {
        const auto &target = context_.selection_->target();
        if (!target || !connections_.mayAsk(*target, now)) {
            return;
        }
        RelayQuery query;
        query.from_ = context_.self_;
        query.isLeaving_ = context_.selection_->status(now).isLeaving_;
        query.unusableRelay_ = context_.selection_->unusableRelay();
        query.configuration_ = needsWholeTexts_ ? TextVersion{} : context_.state_.configurations().version();
        query.endpoints_ = needsWholeTexts_ ? TextVersion{} : context_.state_.endpointVersion();
        query.membersOf_ = membersOf_;
        query.members_ = membersVersion_;
        query.loads_ = context_.local_.loads_;
        query.counts_ = context_.usage_.takeForQuery();
        query.crashes_ = context_.quarantine_.queryFor(*target);
        query.observations_ = observationsFor(*target, now);
        query.failures_ = context_.local_.failures_;
        query.retryDeposits_ = context_.deposits_.reportTo(*target, context_.local_.retryDeposits_);
        sentLoads_ = context_.local_.loads_;
        sentEndpoints_ = query.endpoints_;
        connections_.ask(*target, relaymessagecodec::encode(query), now);
    }

    /// The target has answered a query sent at askedAt.
    void answered(const PeerAddress &peer, const RelayAnswer &answer, MonotonicTime askedAt, MonotonicTime now)
    {
        applyUpdates(peer, answer, askedAt);
        takeEndpointState(answer, now);
        // The answering gateway counts the age until it answers, which is not before it was asked.
        if (answer.configurationAge_ && !answer.configuration_.isNone() && answer.configuration_ == context_.state_.configurations().revision()) {
            context_.confirmed({ askedAt - *answer.configurationAge_, answer.configuration_ });
        }
        if (answer.members_) {
            membersOf_ = answer.from_.incarnation_;
            membersVersion_ = answer.membersVersion_;
            context_.domainSize_ = answer.members_->size();
            context_.selection_->setMembers(*answer.members_);
        }
        context_.usage_.answered(answer);
        if (answer.status_.isRelay_) {
            context_.quarantine_.answered(peer, answer.from_.incarnation_, answer.crashes_);
        }
        auto status = answer.status_;
        status.isFit_ = status.isFit_ && context_.mayFollow(answer);
        context_.selection_->answered(peer, status, now);
        if (status.isFit_) {
            context_.publishFleet({ differenceOf(answer.loads_, sentLoads_),
                                    receivedObservations_.fleetWithout(context_.self_.incarnation_, now),
                                    receivedFailures_.fleetWithout(context_.self_.incarnation_, now),
                                    answer.from_.incarnation_,
                                    answer.retryGrants_ },
                                  answer.gateways_);
        }
    }

private:
    /// A relay that did not answer may not have got the last observations, and another one has none.
    EndpointObservations observationsFor(const PeerAddress &target, MonotonicTime now)
    {
        if (isAwaitingAnswer_ || asked_ != target) {
            updates_.reset();
        }
        if (asked_ != target) {
            answeredBy_ = {};
        }
        isAwaitingAnswer_ = true;
        asked_ = target;
        return updates_.isDue(now) ? updates_.take(context_.local_.observations_, now) : EndpointObservations();
    }

    void takeEndpointState(const RelayAnswer &answer, MonotonicTime now)
    {
        isAwaitingAnswer_ = false;
        const auto before = std::exchange(answeredBy_, answer.from_.incarnation_);
        if (!answer.status_.isRelay_ || (!before.isEmpty() && before != answeredBy_)) {
            updates_.reset();
        }
        receivedObservations_.report({ context_.self_.domain_, {} }, answer.observations_, now);
        receivedFailures_.report({ context_.self_.domain_, {} }, answer.failures_, now);
    }

    void applyUpdates(const PeerAddress &peer, const RelayAnswer &answer, MonotonicTime askedAt)
    {
        bool isChanged = false;
        needsWholeTexts_ = false;
        if (answer.configurationUpdate_) {
            isChanged = isTaken(peer, context_.state_.applyConfiguration(*answer.configurationUpdate_));
        }
        if (answer.endpointUpdate_) {
            const bool isNew = isTaken(peer, context_.state_.applyEndpoints(*answer.endpointUpdate_, askedAt));
            isChanged = isChanged || isNew;
            logEvent(LogEvent::EndpointsTaken,
                     { { "relay", textOf(peer) },
                       { "revision", answer.endpointUpdate_->list_.revision_.number_ },
                       { "era", answer.endpointUpdate_->list_.revision_.era_ },
                       { "kept", std::uint64_t(answer.endpointUpdate_->leases_.size()) },
                       { "listed", std::uint64_t(context_.state_.snapshot().endpoints_->size()) } });
        } else if (answer.status_.isRelay_) {
            context_.state_.confirmEndpoints(sentEndpoints_, answer.endpoints_);
        }
        context_.publishIf(isChanged);
    }

    /// False for an update that changes nothing. After one that cannot be applied, the whole texts are asked for.
    bool isTaken(const PeerAddress &peer, const Result<bool> &isNew)
    {
        if (!isNew) {
            needsWholeTexts_ = true;
            logEvent(LogEvent::PeerMessageMalformed, { { "peer", textOf(peer) }, { "error", isNew.error().message() } });
        }
        return isNew.value_or(false);
    }

    Context &context_;
    RelayConnections &connections_;

    /// The relay whose list of members this gateway has.
    InstanceId membersOf_;
    std::uint64_t membersVersion_ = 0;

    /// What the last query said of this gateway's load and of the endpoints.
    EndpointLoads sentLoads_;
    TextVersion sentEndpoints_;

    /// The gateway that was asked last, and its process as of its last answer.
    PeerAddress asked_;
    InstanceId answeredBy_;
    bool isAwaitingAnswer_ = false;

    /// This gateway's observations that the relay has, and what it has sent of the others.
    ObservationUpdates updates_;
    ObservationBoard receivedObservations_;
    FailureBoard receivedFailures_;

    /// An update could not be applied.
    bool needsWholeTexts_ = false;
};

} // namespace cowsliphead

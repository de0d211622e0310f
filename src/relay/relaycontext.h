#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>

#include "core/clock.h"
#include "core/time.h"
#include "fleet/configurationconfirmed.h"
#include "fleet/registry.h"
#include "relay/domainmembers.h"
#include "relay/failureboard.h"
#include "relay/fleetsize.h"
#include "relay/fleetstate.h"
#include "relay/loadboard.h"
#include "relay/observationboard.h"
#include "relay/quarantinerelay.h"
#include "relay/relayanswer.h"
#include "relay/relaylinks.h"
#include "relay/relayselection.h"
#include "relay/relaysettings.h"
#include "relay/retrydepositledger.h"
#include "relay/retrypool.h"
#include "relay/usagerelay.h"

namespace cowsliphead
{

/// State shared by the parts of a relay task. Thread safety: the loop's task only.
template <RangedStore S, FleetCodec Codec, Clock C>
struct RelayContext {
    EventLoop &loop_;
    const C &clock_;
    RelaySettings settings_;
    GatewayMember self_;
    RelayLinks links_;

    UsageRelay usage_{ self_.incarnation_, links_.memberCounts_, links_.countsStored_ };
    QuarantineRelay<S, C> quarantine_{ loop_, clock_, self_.incarnation_, links_.crashReports_ };

    /// Absent without peers.
    std::optional<RelaySelection> selection_{};
    FleetState<Codec> state_{};
    LoadBoard board_{};
    ObservationBoard observations_{};
    FailureBoard failures_{};
    RetryPool retryPool_{};
    DomainMembers members_{};
    FleetSize fleetSize_{};

    /// Number of gateways in the failure domain.
    std::size_t domainSize_ = 1;

    /// The number of gateways that was published last.
    std::size_t gateways_ = 0;

    /// This gateway's load, and the relays that its deposits of retries are assigned to.
    LocalLoad local_{};
    RetryDepositLedger deposits_{};

    /// The newest configuration was confirmed by a read sent at this time.
    std::optional<MonotonicTime> confirmedAt_{};

    /// The newest era of the store that this gateway has heard of; 0 if the store tells none.
    StoreEra storeEra_ = 0;

    /// False for an answer by the version before, if the store tells eras: that gateway would not notice that the store came back from a copy.
    bool mayFollow(const RelayAnswer &answer) const
    {
        return answer.tellsEras_ || storeEra_ == 0;
    }

    bool isRelay() const
    {
        return selection_ && selection_->role() == RelayRole::Relay;
    }

    /// Publishes configuration and endpoints if they changed.
    void publishIf(bool isChanged)
    {
        if (isChanged) {
            links_.snapshots_.send(state_.snapshot());
        }
    }

    /// A configuration was confirmed as the newest one. What was said of another one than that in force changes nothing.
    void confirmed(const ConfigurationConfirmed &confirmation)
    {
        if (confirmation.revision_ != state_.configurations().revision()) {
            return;
        }
        confirmedAt_ = std::max(confirmedAt_.value_or(confirmation.askedAt_), confirmation.askedAt_);
        links_.configurationConfirmations_.send(confirmation);
    }

    /// gateways is zero while unknown.
    void publishFleet(FleetLoad load, std::size_t gateways)
    {
        links_.loads_.send(std::move(load));
        if (gateways > 0 && std::exchange(gateways_, gateways) != gateways) {
            links_.gatewayCounts_.send({ gateways });
        }
    }
};

} // namespace cowsliphead

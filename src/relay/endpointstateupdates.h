#pragma once

#include "relay/failureupdates.h"
#include "relay/observationupdates.h"

namespace cowsliphead
{

/// Selects what one receiver is sent of the state of endpoints. Thread safety: owner task only.
struct EndpointStateUpdates {
    ObservationUpdates observations_;
    FailureUpdates failures_;
};

} // namespace cowsliphead

#pragma once

#include <optional>

#include "core/time.h"
#include "fleet/endpointentry.h"
#include "store/storerevision.h"

namespace cowsliphead
{

/// An endpoint's entry as it stands, or stood until an outage, in the store.
struct EndpointRegistration {
    EndpointEntry entry_;

    /// Revision of a write since which the entry has stood without a break.
    StoreRevision since_;

    /// Set if the entry was removed, and may have expired only because the store was unavailable: the endpoint stays usable until then.
    std::optional<MonotonicTime> keepUntil_;
};

} // namespace cowsliphead

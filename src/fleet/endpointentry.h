#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "core/endpointid.h"
#include "core/failuredomain.h"
#include "core/servicename.h"
#include "fleet/enginestage.h"
#include "http1/socketaddress.h"

namespace cowsliphead
{

/// The entry with which an endpoint registers itself in the store.
struct EndpointEntry {
    EndpointId id_;

    /// Milliseconds since the epoch at which it started; a restart under the same id is another incarnation.
    std::uint64_t incarnation_ = 0;

    /// Increases with each entry that the incarnation writes.
    std::uint64_t sequence_ = 0;
    ServiceName service_;
    SocketAddress address_;
    FailureDomain domain_;
    std::uint32_t slots_ = 1;
    bool isLeaving_ = false;
    EngineStage stage_ = EngineStage::None;

    /// Cheaper, and may be reclaimed at short notice.
    bool isReclaimable_ = false;

    bool operator==(const EndpointEntry &) const = default;
};

} // namespace cowsliphead

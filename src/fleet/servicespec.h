#pragma once

#include <cstdint>
#include <optional>

#include "core/servicename.h"
#include "fleet/enginespec.h"
#include "fleet/scalingspec.h"

namespace cowsliphead
{

/// A service as the configuration describes it.
struct ServiceSpec {
    ServiceName name_;
    std::uint32_t maxConnections_ = 0;

    /// Present if the service's endpoints are engines.
    std::optional<EngineSpec> engine_;
    std::optional<ScalingSpec> scaling_;
};

} // namespace cowsliphead

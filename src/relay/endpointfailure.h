#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "decide/incarnationkey.h"
#include "relay/endpointfailurekind.h"

namespace cowsliphead
{

/// A recent failure of an endpoint's incarnation.
struct EndpointFailure {
    IncarnationKey endpoint_{};
    EndpointFailureKind kind_ = EndpointFailureKind::Unreachable;

    /// Number of gateways that saw it.
    std::uint32_t gateways_ = 1;

    /// Time since the latest of these failures.
    std::chrono::milliseconds age_{ 0 };

    auto operator<=>(const EndpointFailure &) const = default;
};

/// In order of endpoint and kind, each pair at most once.
using EndpointFailures = std::vector<EndpointFailure>;

} // namespace cowsliphead

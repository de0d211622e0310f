#pragma once

#include <cstdint>
#include <vector>

#include "core/endpointid.h"
#include "core/endpointkey.h"
#include "decide/incarnationkey.h"

namespace cowsliphead
{

/// Returns the key of an endpoint; all gateways get the same one. Thread safety: any thread.
EndpointKey endpointKeyOf(const EndpointId &endpoint);

/// Returns the key of one incarnation of an endpoint. Thread safety: any thread.
EndpointKey endpointKeyOf(IncarnationKey incarnation);

/// What some gateways have placed at one incarnation of an endpoint; the next incarnation has nothing of it.
struct EndpointLoad {
    /// Of the incarnation.
    EndpointKey endpoint_ = 0;

    /// Requests that the endpoint is processing for them.
    std::uint32_t running_ = 0;

    /// Tokens of their prompts that the endpoint has yet to read.
    std::uint64_t promptTokens_ = 0;

    auto operator<=>(const EndpointLoad &) const = default;
};

/// In order of the endpoints' keys, each at most once.
using EndpointLoads = std::vector<EndpointLoad>;

/// Returns the sum of both. Thread safety: any thread.
EndpointLoads sumOf(const EndpointLoads &left, const EndpointLoads &right);

/// Returns total without part; what is missing in total counts as zero. Thread safety: any thread.
EndpointLoads differenceOf(const EndpointLoads &total, const EndpointLoads &part);

} // namespace cowsliphead

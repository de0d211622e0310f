#pragma once

#include <optional>
#include <string>

#include "core/servicename.h"
#include "decide/placement/expectedtime.h"
#include "gateway/placement.h"

namespace cowsliphead
{

struct GatewayContext;

/// Placement by load, and of long prompts at one of two engines, the first two in a ranking by the shared parts: for plain services, and for
/// engines whose KV cache is costly to transfer. Thread safety: the context's task only.
class PairPlacement
{
public:
    /// Precondition: the context outlives the placement.
    PairPlacement(GatewayContext &context, ServiceName service, std::string sharedParts);

    /// True if the engines for the prompt are overloaded and the decode engines are mostly idle.
    bool readsLongPromptLocally(const placement::Candidates &candidates) const;

    PrefillChoice chooseReader(const placement::Candidates &candidates) const;
    EndpointState *chooseAnswerer(const placement::Candidates &candidates) const;
    const EndpointState *primaryEngine(const placement::Candidates &candidates) const;

    /// Nothing: these rules compare queues only.
    std::optional<ExpectedTime> expectedTime(const placement::Candidates &candidates) const;

private:
    GatewayContext &context_;
    ServiceName service_;
    std::string sharedParts_;
};

} // namespace cowsliphead

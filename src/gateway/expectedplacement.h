#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "core/servicename.h"
#include "decide/placement/enginecandidate.h"
#include "decide/placement/expectedtime.h"
#include "decide/placement/promptfacts.h"
#include "fleet/enginespec.h"
#include "gateway/placement.h"

namespace cowsliphead
{

struct GatewayContext;

/// Placement by the expected time to the first event, for engines with a compact KV cache. docs/design/placement.md describes it.
/// Thread safety: the context's task only.
class ExpectedPlacement
{
public:
    /// Precondition: the context outlives the placement.
    ExpectedPlacement(GatewayContext &context, ServiceName service, EngineSpec spec, PromptFacts prompt);

    /// Only while all prefill engines are overloaded and the decode engines mostly idle: a request that is lost while a prefill engine reads its
    /// prompt has not run.
    bool readsLongPromptLocally(const placement::Candidates &candidates) const;

    /// Counts a request for the prompt's shared parts the first time it is called.
    PrefillChoice chooseReader(const placement::Candidates &candidates);

    /// Tokens that an engine is expected to read for the prompt.
    std::uint64_t expectedReading() const;

    EndpointState *chooseAnswerer(const placement::Candidates &candidates) const;
    const EndpointState *primaryEngine(const placement::Candidates &candidates) const;
    std::optional<ExpectedTime> expectedTime(const placement::Candidates &candidates) const;

private:
    std::vector<EngineCandidate> factsOf(const placement::Candidates &candidates) const;

    /// The engine that answers requests for the shared parts unless it is busy. Null if there is none or nothing is shared.
    const EndpointState *firstAnswerer() const;

    GatewayContext &context_;
    ServiceName service_;
    EngineSpec spec_;
    PromptFacts prompt_;

    /// The number of homes of the shared parts; nothing before the first choice.
    std::optional<std::size_t> homes_;
};

} // namespace cowsliphead

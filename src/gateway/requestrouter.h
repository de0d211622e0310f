#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "core/servicename.h"
#include "decide/placement/expectedtime.h"
#include "gateway/expectedplacement.h"
#include "gateway/gatewaycontext.h"
#include "gateway/pairplacement.h"
#include "gateway/placement.h"
#include "gateway/requestmetadata.h"

namespace cowsliphead
{

struct Route;

/// Chooses the engine that reads a request's prompt and the endpoint that runs the request. Each endpoint is chosen at most once for
/// either. Thread safety: the context's task only unless a member states otherwise.
class RequestRouter
{
public:
    /// Precondition: the context outlives the router.
    RequestRouter(GatewayContext &context, RequestMetadata metadata);

    /// Chooses the service by the route's weights, from a hash of the attempt identifier. Thread safety: any thread.
    static ServiceName chooseService(const Route &route, const std::string &attemptId);

    /// Sets the service to choose endpoints from. engine: what its endpoints have in common; null if they are not engines.
    void useService(ServiceName service, const EngineSpec *engine, std::chrono::milliseconds targetLatency);

    /// The expected time to the first event at the best engine. Nothing if no engine may get the request or if the service is not placed by
    /// expected time.
    std::optional<ExpectedTime> expectedTime() const;

    /// True if a prefill engine should read the prompt.
    bool shouldPrefill() const;

    /// Chooses the engine that reads the prompt. If no engine is left, the choice is empty and no further prefill is tried.
    PrefillChoice choosePrefill();

    /// Stops choosing prefill engines.
    void skipPrefill();

    /// Chooses the endpoint that runs the request. Null if none is left.
    EndpointState *chooseEndpoint(bool isPromptRead);

    /// True if another endpoint could run the request.
    bool hasOtherEndpoint() const;

    /// True if the endpoint that runs the request reads a long prompt itself.
    bool readsPromptItself(bool isPromptRead) const;

    /// The engines that may be sent the prompt next; empty if the service's endpoints are not engines.
    placement::Candidates readingEngines() const;

    /// The engine that keeps the prompt's shared parts cached. Null if there is none.
    const EndpointState *primaryEngine() const;

    /// True if no further prefill engine may be tried.
    bool isLastPrefill() const;

    /// Tokens of the prompt that no other request shares.
    std::uint64_t ownTokens() const;

    /// True if the prompt is long enough for a prefill engine of its own to pay.
    bool isLongPrompt() const;

    /// Tokens that an engine is expected to read for this prompt.
    std::uint64_t expectedReading() const;

    /// Identifies the prompt's shared parts.
    const std::string &sharedParts() const;

private:
    bool shouldOffloadShortPrompt() const;
    placement::Candidates prefillEngines() const;
    placement::Candidates runCandidates() const;
    PrefillChoice chooseReader(const placement::Candidates &candidates);

    GatewayContext &context_;
    RequestMetadata metadata_;
    std::string sharedParts_;
    ServiceName service_;
    bool isEngine_ = false;

    /// The rules of the service.
    std::variant<PairPlacement, ExpectedPlacement> placement_;
    int prefillAttempts_ = 0;
    std::set<EndpointId> triedPrefillEngines_;
    std::set<EndpointId> triedEndpoints_;
};

} // namespace cowsliphead

#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "core/servicename.h"
#include "gateway/gatewaycontext.h"
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

    /// Sets the service to choose endpoints from. isEngine: the service's endpoints are engines.
    void useService(ServiceName service, bool isEngine);

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

    /// Identifies the prompt's shared parts.
    const std::string &sharedParts() const;

private:
    bool isLongPrompt() const;
    bool shouldReadLongPromptLocally() const;
    bool shouldOffloadShortPrompt() const;
    placement::Candidates prefillEngines() const;
    placement::Candidates runCandidates() const;

    GatewayContext &context_;
    RequestMetadata metadata_;
    std::string sharedParts_;
    ServiceName service_;
    bool isEngine_ = false;
    int prefillAttempts_ = 0;
    std::set<EndpointId> triedPrefillEngines_;
    std::set<EndpointId> triedEndpoints_;
};

} // namespace cowsliphead

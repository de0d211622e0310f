#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "core/servicename.h"
#include "gateway/callerfacts.h"
#include "gateway/gatewaycontext.h"
#include "gateway/placement.h"

namespace cowsliphead
{

struct Route;

/// Chooses the endpoints of one request: which engine reads its prompt, and which endpoint runs it. Each is chosen at most once.
class RequestRouter
{
public:
    /// Precondition: the context outlives the router. Thread safety: the context's task only.
    RequestRouter(GatewayContext &context, CallerFacts facts);

    /// The service that runs the request, by the route's shares. Thread safety: any thread.
    static ServiceName chooseService(const Route &route, const std::string &attemptId);

    /// The service's endpoints take the request. Thread safety: the context's task only.
    void useService(ServiceName service, bool isEngine);

    /// True if another engine than the one that answers should read the prompt. Thread safety: the context's task only.
    bool wantsPrefill() const;

    /// The engine that reads the prompt; none is left without one. Thread safety: the context's task only.
    PrefillChoice choosePrefill();

    /// No other engine reads the prompt from now on. Thread safety: the context's task only.
    void skipPrefill();

    /// The endpoint that runs the request; null if none is left. Thread safety: the context's task only.
    EndpointState *chooseRunner(bool isPromptRead);

    /// True if another endpoint could run the request. Thread safety: the context's task only.
    bool hasOtherRunner() const;

    /// True if the endpoint that runs the request reads a long prompt itself. Thread safety: the context's task only.
    bool readsPromptItself(bool isPromptRead) const;

    /// The engine that keeps the prompt's shared parts; null if there is none. Thread safety: the context's task only.
    const EndpointState *home() const;

    /// True if no other choice of a prefill engine follows. Thread safety: the context's task only.
    bool isLastPrefill() const;

    /// Tokens of the prompt that no other request shares. Thread safety: the context's task only.
    std::uint64_t ownTokens() const;

    /// Names the prompt's shared parts. Thread safety: the context's task only.
    const std::string &sharedParts() const;

private:
    bool isLongPrompt() const;
    bool mayRelievePrefill() const;
    bool mayRelieveDecode() const;
    placement::Candidates prefillEngines() const;
    placement::Candidates runners() const;

    GatewayContext &context_;
    CallerFacts facts_;
    std::string sharedParts_;
    ServiceName service_;
    bool isEngine_ = false;
    int prefills_ = 0;
    std::set<EndpointId> triedReaders_;
    std::set<EndpointId> triedRunners_;
};

} // namespace cowsliphead

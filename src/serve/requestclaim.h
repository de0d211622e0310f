#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "core/outcome.h"
#include "decide/claimanswer.h"
#include "decide/claimrequest.h"

namespace cowsliphead
{

struct ClaimVerdict;
struct HttpRequest;
struct HttpResponseHead;
struct RequestFacts;
struct RequestPlan;
struct ServingContext;

/// One request's claim of its idempotency key: asked for, held, and ended with what became of the request.
class RequestClaim
{
public:
    /// Without an idempotency key in the plan there is nothing to claim. Precondition: the context outlives the claim.
    /// Thread safety: the serving task only.
    RequestClaim(ServingContext &context, const RequestPlan &plan, const RequestFacts &facts, const HttpRequest &request, std::uint64_t sequence);

    /// Calls back with the verdict in a later turn, unless the claim is ended first. Thread safety: the serving task only.
    void ask(std::function<void(const ClaimVerdict &)> onVerdict);

    /// The verdict granted the key. Thread safety: the serving task only.
    void granted();

    /// Writes down how the request ended; a claim of one that may have run stays. answer is kept for a later sending of the same
    /// request if it is there. Thread safety: the serving task only.
    void end(Outcome outcome, std::optional<ClaimAnswer> answer);

    /// The answer as it can be kept; nothing if it is too long or not encodable. Thread safety: any thread.
    static std::optional<ClaimAnswer> answerToKeep(const HttpResponseHead &head, const std::string &body);

private:
    ServingContext &context_;
    ClaimRequest claim_;
    std::uint64_t sequence_;
    bool isGranted_ = false;
};

} // namespace cowsliphead

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

/// Acquires the claim of a request's idempotency key, and ends the claim with the outcome of the request.
/// Thread safety: call only from the serving task, unless a member states otherwise.
class RequestClaim
{
public:
    /// The claim stays empty if the plan needs none. Precondition: the context outlives the claim.
    RequestClaim(ServingContext &context, const RequestPlan &plan, const RequestFacts &facts, const HttpRequest &request, std::uint64_t sequence);

    /// Requests the claim. onVerdict is called in a later iteration of the event loop, unless end() is called first.
    void acquire(std::function<void(const ClaimVerdict &)> onVerdict);

    /// Records that the claim was granted, so that end() has to end it.
    void markGranted();

    /// Reports the outcome of the request. The claim of a request that may have run is kept. answer, if present, is stored and replayed to later
    /// requests with the same idempotency key.
    void end(Outcome outcome, std::optional<ClaimAnswer> answer);

    /// The answer in the form in which it is stored; nothing if it is too long or is not valid UTF-8. Thread safety: any thread.
    static std::optional<ClaimAnswer> storableAnswer(const HttpResponseHead &head, const std::string &body);

private:
    ServingContext &context_;
    ClaimRequest claim_;
    std::uint64_t sequence_;
    bool isGranted_ = false;
};

} // namespace cowsliphead

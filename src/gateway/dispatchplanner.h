#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "gateway/admittedrequest.h"
#include "gateway/cachehandle.h"
#include "gateway/callerfacts.h"
#include "gateway/dispatchplan.h"
#include "gateway/prefillchoice.h"

namespace cowsliphead
{

class RequestRouter;
struct CallerRequest;
struct EndpointState;

/// Draws up what endpoints get of one request.
class DispatchPlanner
{
public:
    /// Precondition: all outlive the planner. Thread safety: owner task only.
    DispatchPlanner(const CallerRequest &request, const CallerFacts &facts, const AdmittedRequest &admitted, const RequestRouter &router);

    /// The chosen engine reads the prompt only. lastEventId: the last event that the caller got from an earlier endpoint; empty
    /// before the first. Thread safety: owner task only.
    DispatchPlan planPrefill(const PrefillChoice &choice, std::chrono::milliseconds timeLeft, const std::string &lastEventId) const;

    /// The endpoint runs the request, from a KV cache where there is one; lastEventId as above. Thread safety: owner task only.
    DispatchPlan
    planRun(const EndpointState &endpoint, std::chrono::milliseconds timeLeft, const std::string &lastEventId, const std::optional<CacheHandle> &cache) const;

private:
    DispatchPlan planFor(const EndpointState &endpoint, std::chrono::milliseconds timeLeft, const std::string &lastEventId) const;
    void planReading(DispatchPlan &plan) const;
    std::chrono::milliseconds silenceLimit() const;

    const CallerRequest &request_;
    const CallerFacts &facts_;
    const AdmittedRequest &admitted_;
    const RequestRouter &router_;
};

} // namespace cowsliphead

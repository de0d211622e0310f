#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "gateway/admittedrequest.h"
#include "gateway/cachehandle.h"
#include "gateway/dispatchplan.h"
#include "gateway/prefillchoice.h"
#include "gateway/requestmetadata.h"

namespace cowsliphead
{

class RequestRouter;
struct CallerRequest;
struct EndpointState;

/// Builds the dispatch plans of one request. Thread safety: owner task only.
class DispatchPlanner
{
public:
    /// Precondition: all arguments outlive the planner.
    DispatchPlanner(const CallerRequest &request, const RequestMetadata &metadata, const AdmittedRequest &admitted, const RequestRouter &router);

    /// Plans a dispatch to an engine that only reads the prompt. lastEventId: the last event that the caller received from an earlier
    /// endpoint; empty before the first event.
    DispatchPlan planPrefill(const PrefillChoice &choice, std::chrono::milliseconds timeLeft, const std::string &lastEventId) const;

    /// Plans a dispatch to the endpoint that runs the request. cache: the prompt's KV cache, if another engine has read the prompt.
    /// lastEventId: as for planPrefill().
    DispatchPlan
    planRun(const EndpointState &endpoint, std::chrono::milliseconds timeLeft, const std::string &lastEventId, const std::optional<CacheHandle> &cache) const;

private:
    DispatchPlan planFor(const EndpointState &endpoint, std::chrono::milliseconds timeLeft, const std::string &lastEventId) const;
    void setPrefillFields(DispatchPlan &plan) const;
    std::chrono::milliseconds noDataTimeout() const;

    const CallerRequest &request_;
    const RequestMetadata &metadata_;
    const AdmittedRequest &admitted_;
    const RequestRouter &router_;
};

} // namespace cowsliphead

#pragma once

#include <set>

#include "core/endpointid.h"

namespace cowsliphead
{

struct EndpointRecord;
struct RequestTarget;
struct ServingContext;

/// Chooses the endpoint of each attempt of a request, taking into account how the request's earlier attempts failed.
/// Thread safety: call only from the serving task.
class EndpointSelection
{
public:
    /// Returns null if no endpoint is in service or the request has failed at all of them.
    const EndpointRecord *choose(ServingContext &context, const RequestTarget &target) const;

    /// Excludes the endpoint from further attempts.
    void markFailed(const EndpointId &endpoint);

    /// Prefers other endpoints from now on. For failures on a reused connection, which do not prove that the endpoint itself is faulty.
    void deprioritize(const EndpointId &endpoint);

private:
    std::set<EndpointId> failed_;
    std::set<EndpointId> deprioritized_;
};

} // namespace cowsliphead

#pragma once

#include <set>

#include "core/endpointid.h"

namespace cowsliphead
{

struct EndpointRecord;
struct RequestTarget;
struct ServingContext;

/// Chooses the endpoint of each of a request's attempts, by what the attempts before have shown.
class EndpointSelection
{
public:
    /// Null if every endpoint has failed the request or none is in service. Thread safety: the serving task only.
    const EndpointRecord *choose(ServingContext &context, const RequestTarget &target) const;

    /// The endpoint is not chosen again. Thread safety: owner task only.
    void markFailed(const EndpointId &endpoint);

    /// An old connection to the endpoint has failed: others are preferred. Thread safety: owner task only.
    void markDoubtful(const EndpointId &endpoint);

private:
    std::set<EndpointId> failed_;
    std::set<EndpointId> doubtful_;
};

} // namespace cowsliphead

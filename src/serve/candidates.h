#pragma once

#include <functional>
#include <vector>

#include "core/endpointid.h"

namespace cowsliphead
{

class RecordSet;
struct EndpointRecord;
struct RequestTarget;

using Candidates = std::vector<const EndpointRecord *>;

/// The endpoints that serve the target and are not draining. Thread safety: any thread.
Candidates candidatesFor(const RecordSet &records, const RequestTarget &target);

/// The candidates for which isPreferred is true, or all candidates if it is true for none of them. Thread safety: any thread.
Candidates preferMatching(const Candidates &candidates, const std::function<bool(const EndpointId &)> &isPreferred);

} // namespace cowsliphead

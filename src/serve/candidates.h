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

/// The endpoints in service that can take a request. Thread safety: any thread.
Candidates candidatesFor(const RecordSet &records, const RequestTarget &target);

/// Those of the candidates that fit, or all if none does. Thread safety: any thread.
Candidates preferred(const Candidates &candidates, const std::function<bool(const EndpointId &)> &fits);

} // namespace cowsliphead

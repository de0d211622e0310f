#include "serve/candidates.h"

#include <algorithm>
#include <iterator>

#include "decide/requesttarget.h"
#include "records/recordset.h"

namespace cowsliphead
{

namespace
{

bool serves(const EndpointRecord &endpoint, const RequestTarget &target)
{
    if (endpoint.isDraining_) {
        return false;
    }
    if (target.model_.isEmpty()) {
        return endpoint.kind_ == EndpointKind::Service && endpoint.service_ == target.service_;
    }
    return endpoint.kind_ == EndpointKind::Engine && std::find(endpoint.models_.begin(), endpoint.models_.end(), target.model_) != endpoint.models_.end();
}

} // namespace

Candidates candidatesFor(const RecordSet &records, const RequestTarget &target)
{
    Candidates candidates;
    for (const auto *endpoint : records.allOf<EndpointRecord>()) {
        if (serves(*endpoint, target)) {
            candidates.push_back(endpoint);
        }
    }
    return candidates;
}

Candidates preferred(const Candidates &candidates, const std::function<bool(const EndpointId &)> &fits)
{
    Candidates fitting;
    std::copy_if(
        candidates.begin(), candidates.end(), std::back_inserter(fitting), [&fits](const EndpointRecord *candidate) { return fits(candidate->endpoint_); });
    return fitting.empty() ? candidates : fitting;
}

} // namespace cowsliphead

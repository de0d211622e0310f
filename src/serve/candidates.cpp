#include "serve/candidates.h"

#include <algorithm>
#include <iterator>

#include "decide/requesttarget.h"
#include "records/recordset.h"

namespace cowsliphead
{

Candidates candidatesFor(const RecordSet &records, const RequestTarget &target)
{
    const auto &inService = target.model_.isEmpty() ? records.endpointsOf(target.service_) : records.enginesOf(target.model_);
    Candidates candidates;
    std::copy_if(inService.begin(), inService.end(), std::back_inserter(candidates), [](const EndpointRecord *endpoint) { return !endpoint->isDraining_; });
    return candidates;
}

Candidates preferMatching(const Candidates &candidates, const std::function<bool(const EndpointId &)> &isPreferred)
{
    Candidates matching;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(matching), [&isPreferred](const EndpointRecord *candidate) {
        return isPreferred(candidate->endpoint_);
    });
    return matching.empty() ? candidates : matching;
}

} // namespace cowsliphead

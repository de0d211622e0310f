#include "serve/candidates.h"

#include <algorithm>
#include <iterator>

#include "decide/requesttarget.h"
#include "records/recordset.h"

namespace cowsliphead
{

Candidates candidatesFor(const RecordSet &records, const RequestTarget &target)
{
    const auto &serving = target.model_.isEmpty() ? records.endpointsOf(target.service_) : records.enginesOf(target.model_);
    Candidates candidates;
    std::copy_if(serving.begin(), serving.end(), std::back_inserter(candidates), [](const EndpointRecord *endpoint) { return !endpoint->isDraining_; });
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

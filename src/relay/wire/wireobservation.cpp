#include "relay/wire/wireobservation.h"

#include "core/errorcode.h"
#include "relay/wire/wirelist.h"

namespace cowsliphead
{

Result<EndpointObservations> observationsFromWire(const std::vector<WireObservation> &wire)
{
    auto observations = allFromWire<EndpointObservation>(wire);
    if (!isStrictlyAscending(observations, [](const EndpointObservation &observation) { return observation.endpoint_; })) {
        return failure(ErrorCode::CodecMalformed);
    }
    return observations;
}

} // namespace cowsliphead

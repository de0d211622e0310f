#include "relay/wire/wireload.h"

#include "core/errorcode.h"
#include "relay/wire/wirelist.h"

namespace cowsliphead
{

Result<EndpointLoads> loadsFromWire(const std::vector<WireLoad> &wire)
{
    auto loads = allFromWire<EndpointLoad>(wire);
    if (!isStrictlyAscending(loads, [](const EndpointLoad &load) { return load.endpoint_; })) {
        return failure(ErrorCode::CodecMalformed);
    }
    return loads;
}

} // namespace cowsliphead

#include "relay/wire/wireload.h"

#include <algorithm>

#include "core/errorcode.h"
#include "relay/wire/wirelist.h"

namespace cowsliphead
{

Result<EndpointLoads> loadsFromWire(const std::vector<WireLoad> &wire)
{
    auto loads = allFromWire<EndpointLoad>(wire);
    const auto isOutOfOrder = [](const EndpointLoad &left, const EndpointLoad &right) { return left.endpoint_ >= right.endpoint_; };
    if (std::adjacent_find(loads.begin(), loads.end(), isOutOfOrder) != loads.end()) {
        return failure(ErrorCode::CodecMalformed);
    }
    return loads;
}

} // namespace cowsliphead

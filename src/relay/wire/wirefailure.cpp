#include "relay/wire/wirefailure.h"

#include <algorithm>
#include <utility>

#include "core/errorcode.h"
#include "relay/wire/wirelist.h"

namespace cowsliphead
{

Result<EndpointFailures> failuresFromWire(const std::vector<WireFailure> &wire)
{
    constexpr auto FirstKind = static_cast<std::uint8_t>(EndpointFailureKind::Unreachable);
    constexpr auto LastKind = static_cast<std::uint8_t>(EndpointFailureKind::Replaced);
    const auto isKnown = [](const WireFailure &failure) { return failure.kind_ >= FirstKind && failure.kind_ <= LastKind && failure.gateways_ > 0; };
    const auto keyOf = [](const WireFailure &failure) { return std::pair(failure.endpoint_, failure.kind_); };
    if (!std::all_of(wire.begin(), wire.end(), isKnown) || !isStrictlyAscending(wire, keyOf)) {
        return failure(ErrorCode::CodecMalformed);
    }
    return allFromWire<EndpointFailure>(wire);
}

} // namespace cowsliphead

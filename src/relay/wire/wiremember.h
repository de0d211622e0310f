#pragma once

#include <string>

#include "relay/gatewaymember.h"
#include "relay/wire/wireaddress.h"

namespace cowsliphead
{

/// Wire form of GatewayMember.
struct WireMember {
    std::string incarnation_;
    std::string domain_;
    WireAddress address_;

    MSGPACK_DEFINE_ARRAY(incarnation_, domain_, address_)
};

/// Thread safety: any thread.
inline WireMember toWire(const GatewayMember &member)
{
    return { member.incarnation_.value(), member.domain_.value(), toWire(member.address_) };
}

/// Thread safety: any thread.
inline GatewayMember fromWire(const WireMember &wire)
{
    return { InstanceId(wire.incarnation_), FailureDomain(wire.domain_), fromWire(wire.address_) };
}

} // namespace cowsliphead

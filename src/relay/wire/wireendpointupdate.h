#pragma once

#include <vector>

#include "relay/endpointupdate.h"
#include "relay/wire/wirelease.h"
#include "relay/wire/wirelist.h"
#include "relay/wire/wireupdate.h"

namespace cowsliphead
{

/// Wire form of EndpointUpdate.
struct WireEndpointUpdate {
    WireUpdate list_;
    std::vector<WireLease> leases_;

    MSGPACK_DEFINE_ARRAY(list_, leases_)
};

/// Thread safety: any thread.
inline WireEndpointUpdate toWire(const EndpointUpdate &update)
{
    return { toWire(update.list_), allToWire<WireLease>(update.leases_) };
}

/// Thread safety: any thread.
inline EndpointUpdate fromWire(const WireEndpointUpdate &wire)
{
    return { fromWire(wire.list_), allFromWire<EndpointLease>(wire.leases_) };
}

} // namespace cowsliphead

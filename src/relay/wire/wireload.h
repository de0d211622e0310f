#pragma once

#include <cstdint>
#include <vector>

#include "core/result.h"
#include "peer/messagepack.h"
#include "relay/endpointload.h"

namespace cowsliphead
{

/// Wire form of EndpointLoad.
struct WireLoad {
    EndpointKey endpoint_ = 0;
    std::uint32_t running_ = 0;
    std::uint64_t promptTokens_ = 0;

    MSGPACK_DEFINE_ARRAY(endpoint_, running_, promptTokens_)
};

/// Thread safety: any thread.
inline WireLoad toWire(const EndpointLoad &load)
{
    return { load.endpoint_, load.running_, load.promptTokens_ };
}

/// Thread safety: any thread.
inline EndpointLoad fromWire(const WireLoad &wire)
{
    return { wire.endpoint_, wire.running_, wire.promptTokens_ };
}

/// Errors: CodecMalformed for loads out of order or duplicates, since sums and differences of loads need them in order. Thread safety: any
/// thread.
Result<EndpointLoads> loadsFromWire(const std::vector<WireLoad> &wire);

} // namespace cowsliphead

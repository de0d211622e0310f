#pragma once

#include <cstdint>

#include "peer/messagepack.h"
#include "relay/textversion.h"

namespace cowsliphead
{

/// Wire form of TextVersion. The version before knows no eras and sends none.
struct WireVersion {
    std::uint64_t revision_ = 0;
    std::uint64_t digest_ = 0;
    std::uint64_t era_ = 0;

    MSGPACK_DEFINE_ARRAY(revision_, digest_, era_)
};

/// Thread safety: any thread.
inline WireVersion toWire(const TextVersion &version)
{
    return { version.revision_.number_, version.digest_, version.revision_.era_ };
}

/// Thread safety: any thread.
inline TextVersion fromWire(const WireVersion &wire)
{
    return { { wire.era_, wire.revision_ }, wire.digest_ };
}

} // namespace cowsliphead

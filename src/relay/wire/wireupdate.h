#pragma once

#include <cstdint>
#include <string>

#include "peer/messagepack.h"
#include "relay/textupdate.h"

namespace cowsliphead
{

/// Wire form of TextUpdate. The version before knows no eras and sends none.
struct WireUpdate {
    std::uint64_t revision_ = 0;
    std::uint64_t baseDigest_ = 0;
    std::uint64_t digest_ = 0;
    std::string bytes_;
    std::uint64_t era_ = 0;

    MSGPACK_DEFINE_ARRAY(revision_, baseDigest_, digest_, bytes_, era_)
};

/// Thread safety: any thread.
inline WireUpdate toWire(const TextUpdate &update)
{
    return { update.revision_.number_, update.baseDigest_, update.digest_, update.bytes_, update.revision_.era_ };
}

/// Thread safety: any thread.
inline TextUpdate fromWire(const WireUpdate &wire)
{
    return { { wire.era_, wire.revision_ }, wire.baseDigest_, wire.digest_, wire.bytes_ };
}

} // namespace cowsliphead

#pragma once

#include <cstdint>
#include <string>

#include "peer/messagepack.h"
#include "relay/textupdate.h"

namespace cowsliphead
{

/// Wire form of TextUpdate.
struct WireUpdate {
    std::uint64_t revision_ = 0;
    std::uint64_t baseDigest_ = 0;
    std::uint64_t digest_ = 0;
    std::string bytes_;

    MSGPACK_DEFINE_ARRAY(revision_, baseDigest_, digest_, bytes_)
};

/// Thread safety: any thread.
inline WireUpdate toWire(const TextUpdate &update)
{
    return { update.revision_, update.baseDigest_, update.digest_, update.bytes_ };
}

/// Thread safety: any thread.
inline TextUpdate fromWire(const WireUpdate &wire)
{
    return { wire.revision_, wire.baseDigest_, wire.digest_, wire.bytes_ };
}

} // namespace cowsliphead

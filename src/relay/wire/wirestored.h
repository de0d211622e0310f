#pragma once

#include <cstdint>

#include "peer/messagepack.h"
#include "usage/countsstored.h"

namespace cowsliphead
{

/// Wire form of CountsStored. The gateway is the receiver of the answer.
struct WireStored {
    std::uint64_t window_ = 0;
    std::uint64_t version_ = 0;

    MSGPACK_DEFINE_ARRAY(window_, version_)
};

/// Thread safety: any thread.
inline WireStored toWire(const CountsStored &stored)
{
    return { stored.window_, stored.version_ };
}

/// Leaves the gateway empty. Thread safety: any thread.
inline CountsStored fromWire(const WireStored &wire)
{
    return { {}, wire.window_, wire.version_ };
}

} // namespace cowsliphead

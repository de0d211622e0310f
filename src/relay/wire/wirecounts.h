#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "peer/messagepack.h"
#include "usage/membercounts.h"

namespace cowsliphead
{

/// Wire form of MemberCounts. The gateway is the sender of the query.
struct WireCounts {
    std::uint64_t window_ = 0;
    std::uint64_t version_ = 0;
    bool isFinal_ = false;
    std::map<std::string, std::uint64_t> requests_;

    MSGPACK_DEFINE_ARRAY(window_, version_, isFinal_, requests_)
};

/// Thread safety: any thread.
WireCounts toWire(const MemberCounts &counts);

/// Leaves the gateway empty. Thread safety: any thread.
MemberCounts fromWire(const WireCounts &wire);

} // namespace cowsliphead

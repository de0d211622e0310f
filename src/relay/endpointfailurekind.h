#pragma once

#include <cstdint>

namespace cowsliphead
{

/// How an endpoint failed a gateway. The values are part of messages between gateways.
enum class EndpointFailureKind : std::uint8_t {
    Unreachable = 1, ///< No connection could be opened.
    ClosedUnanswered = 2, ///< It closed the connection without an answer.
    Replaced = 3, ///< Another incarnation answered at its address.
};

} // namespace cowsliphead

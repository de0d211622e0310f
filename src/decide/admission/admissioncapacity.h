#pragma once

#include <concepts>

#include "core/time.h"

namespace cowsliphead
{

/// What an AdmissionGate sends requests to.
template <typename T>
concept AdmissionCapacity = requires(T &capacity, const T &constant, MonotonicTime now, bool isFull)
{
    /// True if a request can be sent now.
    {
        constant.hasRoom(now)
        } -> std::same_as<bool>;
    /// True if hasRoom() does not depend on assumptions, so that requests may be refused for want of room.
    {
        constant.isCertain(now)
        } -> std::same_as<bool>;
    /// A request is sent.
    capacity.taken();
    /// A request has ended with a response.
    capacity.answered();
    /// A request has ended without a response. isFull: for want of room.
    capacity.failed(isFull);
};

} // namespace cowsliphead

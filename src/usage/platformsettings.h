#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace cowsliphead
{

/// Address of the platform's interface for usage reports and endpoints. Port 0 means that there is none and nothing is reported.
struct PlatformSettings {
    std::string host_ = "127.0.0.1";
    std::uint16_t port_ = 0;

    /// Timeout of a call. Must be shorter than the safety margin of a lease.
    std::chrono::milliseconds timeout_{ 2000 };
};

} // namespace cowsliphead

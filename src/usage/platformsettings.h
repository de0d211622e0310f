#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace cowsliphead
{

/// Where the platform's interface for usage reports and endpoints is. Port 0: there is none, and nothing is reported.
struct PlatformSettings {
    std::string host_ = "127.0.0.1";
    std::uint16_t port_ = 0;

    /// How long a call may stay unanswered. Shorter than the margin of a lease.
    std::chrono::milliseconds timeout_{ 2000 };
};

} // namespace cowsliphead

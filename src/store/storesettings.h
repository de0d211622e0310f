#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace cowsliphead
{

/// Where the platform's key-value service is.
struct StoreSettings {
    std::string host_ = "127.0.0.1";
    std::uint16_t port_ = 0;

    /// How long a call may stay unanswered.
    std::chrono::milliseconds timeout_{ 2000 };
};

} // namespace cowsliphead

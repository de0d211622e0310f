#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace cowsliphead
{

/// Address of the platform's key-value service.
struct StoreSettings {
    std::string host_ = "127.0.0.1";
    std::uint16_t port_ = 0;

    /// Timeout of a call.
    std::chrono::milliseconds timeout_{ 2000 };
};

} // namespace cowsliphead

#pragma once

#include <cstdint>
#include <string>

namespace cowsliphead
{

/// The address and port that serve the metrics, separate from the port for callers.
struct MetricsSettings {
    bool isEnabled_ = false;
    std::string address_ = "127.0.0.1";
    std::uint16_t port_ = 0;
};

} // namespace cowsliphead

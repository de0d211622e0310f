#pragma once

#include <cstdint>
#include <string>

namespace cowsliphead
{

/// Where the metrics are to be had; apart from the callers' port.
struct MetricsSettings {
    bool isEnabled_ = false;
    std::string address_ = "127.0.0.1";
    std::uint16_t port_ = 0;
};

} // namespace cowsliphead

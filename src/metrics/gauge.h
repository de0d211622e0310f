#pragma once

#include <cstdint>
#include <string>

namespace cowsliphead
{

/// One value that goes up and down, in the Prometheus text format. Thread safety: any thread.
std::string gaugeText(const std::string &name, const std::string &help, std::uint64_t value);

} // namespace cowsliphead

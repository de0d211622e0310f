#pragma once

#include <cstdint>
#include <string>

namespace cowsliphead
{

/// A gauge, a value that can rise and fall, in the Prometheus text format. Thread safety: any thread.
std::string gaugeText(const std::string &name, const std::string &help, std::uint64_t value);

} // namespace cowsliphead

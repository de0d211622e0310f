#pragma once

#include <optional>
#include <string>

namespace cowsliphead::scenarios
{

/// Runs the Lua script stories/NAME.lua against processes of the program that COWSLIPHEAD_PROGRAM names. Returns the failure, or nothing.
std::optional<std::string> runScenario(const std::string &name);

} // namespace cowsliphead::scenarios

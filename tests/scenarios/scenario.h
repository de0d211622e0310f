#pragma once

#include <optional>
#include <string>

namespace cowsliphead::scenarios
{

/// Runs one story, written in Lua, against real processes. Returns what went wrong, or nothing.
std::optional<std::string> runStory(const std::string &name);

} // namespace cowsliphead::scenarios

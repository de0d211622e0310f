#pragma once

#include <string_view>

#include <nlohmann/json.hpp>

namespace cowsliphead
{

/// Parses JSON that anybody may have written. Returns a discarded value if the text is malformed, holds a number beyond the range of double,
/// or is nested too deeply; each access to its elements throws a json::exception. Thread safety: any thread.
nlohmann::json parseJson(std::string_view text);

} // namespace cowsliphead

#pragma once

#include <string>
#include <string_view>

namespace cowsliphead
{

/// SHA-256 of the text, in hexadecimal digits. Thread safety: any thread.
std::string sha256Hex(std::string_view text);

} // namespace cowsliphead

#pragma once

#include <span>
#include <string>

namespace cowsliphead
{

/// Encodes each byte as two lower-case hexadecimal digits. Thread safety: any thread.
std::string toHex(std::span<const unsigned char> bytes);

} // namespace cowsliphead

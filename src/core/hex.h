#pragma once

#include <span>
#include <string>

namespace cowsliphead
{

/// Two lower-case hexadecimal digits a byte. Thread safety: any thread.
std::string toHex(std::span<const unsigned char> bytes);

} // namespace cowsliphead

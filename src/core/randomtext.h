#pragma once

#include <string>

namespace cowsliphead
{

/// Hexadecimal digits from the system's cryptographic generator. Precondition: byteCount is positive. Thread safety: any thread.
std::string randomHex(int byteCount);

} // namespace cowsliphead

#pragma once

#include <string>

namespace cowsliphead
{

/// Returns byteCount random bytes in hexadecimal digits, from the system's cryptographic random number generator. Precondition:
/// byteCount is positive. Thread safety: any thread.
std::string randomHex(int byteCount);

} // namespace cowsliphead

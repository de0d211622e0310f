#pragma once

#include <string>
#include <string_view>

namespace cowsliphead
{

/// Generates a new API key with the system's cryptographic random number generator. Thread safety: any thread.
std::string generateApiKey();

/// True if the text contains anything in the format of the keys that generateApiKey() returns. Thread safety: any thread.
bool containsApiKey(std::string_view text);

} // namespace cowsliphead

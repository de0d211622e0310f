#pragma once

#include <string>
#include <string_view>

namespace cowsliphead
{

/// A new caller's key, from the system's cryptographic generator. Thread safety: any thread.
std::string generateApiKey();

/// True if the text holds anything in the form of a key that generateApiKey() gives. Thread safety: any thread.
bool containsApiKey(std::string_view text);

} // namespace cowsliphead

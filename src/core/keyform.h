#pragma once

#include <string>
#include <string_view>

namespace cowsliphead
{

/// A new caller's key, from the system's cryptographic generator. Thread safety: any thread.
std::string newKeyText();

/// True if the text holds anything in the form of a key that newKeyText() gives. Thread safety: any thread.
bool holdsKeyForm(std::string_view text);

} // namespace cowsliphead

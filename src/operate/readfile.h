#pragma once

#include <string>

#include "core/result.h"

namespace cowsliphead
{

/// The whole content of a file, or of standard input for "-". Errors: those of the system. Thread safety: any thread.
Result<std::string> readFile(const std::string &name);

} // namespace cowsliphead

#pragma once

#include <string>

#include "core/result.h"

namespace cowsliphead
{

/// Reads a file, or standard input for "-". Errors: std::errc::no_such_file_or_directory if the file cannot be opened. Thread safety: any thread.
Result<std::string> readFile(const std::string &name);

} // namespace cowsliphead

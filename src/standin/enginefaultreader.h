#pragma once

#include <string>

#include "core/result.h"
#include "standin/enginefaults.h"

namespace cowsliphead
{

/// Reads the body of POST /standin/fault, a JSON object; a field that is not there stands for no such fault. Thread safety: any thread.
/// Errors: RequestMalformed.
Result<EngineFaults> readEngineFaults(const std::string &body);

} // namespace cowsliphead

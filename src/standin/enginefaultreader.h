#pragma once

#include <string>

#include "core/result.h"
#include "standin/enginefaults.h"

namespace cowsliphead
{

/// Parses the body of POST /standin/fault, a JSON object. A missing field leaves its fault off. Thread safety: any thread.
/// Errors: RequestMalformed.
Result<EngineFaults> readEngineFaults(const std::string &body);

} // namespace cowsliphead

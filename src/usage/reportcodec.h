#pragma once

#include <nlohmann/json_fwd.hpp>

#include "core/result.h"
#include "usage/usagereport.h"

namespace cowsliphead::reportcodec
{

/// Encodes a report in the platform's format. Thread safety: any thread.
nlohmann::json reportToJson(const UsageReport &report);

/// Errors: CodecMalformed. Thread safety: any thread.
Result<UsageReport> reportFromJson(const nlohmann::json &document);

} // namespace cowsliphead::reportcodec

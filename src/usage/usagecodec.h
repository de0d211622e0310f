#pragma once

#include <string>

#include <nlohmann/json_fwd.hpp>

#include "core/result.h"
#include "decide/usagecounter.h"
#include "decide/usageledger.h"

namespace cowsliphead::usagecodec
{

/// Thread safety: any thread.
nlohmann::json sumsToJson(const UsageSums &sums);

/// Throws nlohmann::json::exception if the document holds no sums. Thread safety: any thread.
UsageSums sumsFromJson(const nlohmann::json &document);

/// Thread safety: any thread.
std::string encodeCounter(const UsageCounter &counter);

/// Errors: CodecMalformed. Thread safety: any thread.
Result<UsageCounter> decodeCounter(const std::string &text);

/// Thread safety: any thread.
std::string encodeLedger(const UsageLedger &ledger);

/// Errors: CodecMalformed. Thread safety: any thread.
Result<UsageLedger> decodeLedger(const std::string &text);

} // namespace cowsliphead::usagecodec

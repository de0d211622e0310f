#pragma once

#include <string>

#include <nlohmann/json_fwd.hpp>

#include "core/result.h"
#include "store/storeentry.h"
#include "store/storewrite.h"
#include "store/watchanswer.h"

namespace cowsliphead::storecodec
{

/// Thread safety: any thread.
nlohmann::json writeToJson(const StoreWrite &write);

/// Errors: StoreAnswerMalformed. Thread safety: any thread.
Result<StoreWrite> writeFromJson(const nlohmann::json &document);

/// Thread safety: any thread.
nlohmann::json entryToJson(const StoreEntry &entry);

/// Errors: StoreAnswerMalformed. Thread safety: any thread.
Result<StoreEntry> entryFromJson(const nlohmann::json &document);

/// Thread safety: any thread.
nlohmann::json entriesToJson(const std::vector<StoreEntry> &entries);

/// Errors: StoreAnswerMalformed. Thread safety: any thread.
Result<std::vector<StoreEntry>> entriesFromJson(const nlohmann::json &document);

/// Thread safety: any thread.
nlohmann::json watchToJson(const WatchAnswer &answer);

/// Errors: StoreAnswerMalformed. Thread safety: any thread.
Result<WatchAnswer> watchFromJson(const nlohmann::json &document);

} // namespace cowsliphead::storecodec

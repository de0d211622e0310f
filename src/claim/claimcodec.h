#pragma once

#include <string>

#include "core/result.h"
#include "decide/claimtable.h"

namespace cowsliphead
{

/// The value of a shard as text. Precondition: all text in the table is UTF-8. Thread safety: any thread.
std::string encodeClaims(const ClaimTable &table);

/// Errors: StoreAnswerMalformed, also for a schema version that this program does not know. Thread safety: any thread.
Result<ClaimTable> decodeClaims(const std::string &text);

/// True if the text can stand in a shard's value. Thread safety: any thread.
bool isValidUtf8(const std::string &text);

} // namespace cowsliphead

#pragma once

#include <string>

#include "core/result.h"
#include "decide/claimtable.h"

namespace cowsliphead
{

/// Encodes the table as a shard's value in the store. Precondition: all text in the table is valid UTF-8. Thread safety: any thread.
std::string encodeClaims(const ClaimTable &table);

/// Errors: StoreAnswerMalformed, also for an unknown schema version. Thread safety: any thread.
Result<ClaimTable> decodeClaims(const std::string &text);

/// True if the text is valid UTF-8 and can therefore be encoded in a shard's value. Thread safety: any thread.
bool isValidUtf8(const std::string &text);

} // namespace cowsliphead

#pragma once

#include <string>

#include "core/result.h"
#include "records/change.h"

namespace cowsliphead
{

/// Encodes a change as the JSON value of its log entry. The revision is left out, as the entry's key holds it.
/// Thread safety: any thread.
std::string encodeChange(const Change &change);

/// Decodes the value of the log entry with the given revision. Errors: CodecMalformed. Thread safety: any thread.
Result<Change> decodeChange(Revision revision, const std::string &text);

} // namespace cowsliphead

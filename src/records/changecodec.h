#pragma once

#include <string>

#include "core/result.h"
#include "records/change.h"

namespace cowsliphead
{

/// The entry as the store keeps it; the revision is the key's, so it is not part of the text. Thread safety: any thread.
std::string encodeChange(const Change &change);

/// Errors: CodecMalformed. Thread safety: any thread.
Result<Change> decodeChange(Revision revision, const std::string &text);

} // namespace cowsliphead

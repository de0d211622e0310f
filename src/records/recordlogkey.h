#pragma once

#include <string>

#include "core/revision.h"

namespace cowsliphead
{

/// The prefix in the store of all entries of the log of records.
constexpr const char *RecordLogPrefix = "log/";

/// The store's key of a change; keys sort as revisions do. Thread safety: any thread.
std::string recordLogKey(Revision revision);

/// 0 if the key is none of the log's. Thread safety: any thread.
Revision revisionFromLogKey(const std::string &key);

} // namespace cowsliphead

#pragma once

#include <string>

#include "core/revision.h"

namespace cowsliphead
{

/// The prefix in the store of all entries of the log of records.
constexpr const char *LogPrefix = "log/";

/// The store's key of a change; keys sort as revisions do. Thread safety: any thread.
std::string logKey(Revision revision);

/// 0 if the key is none of the log's. Thread safety: any thread.
Revision revisionOfLogKey(const std::string &key);

} // namespace cowsliphead

#pragma once

#include <string>

#include "core/revision.h"

namespace cowsliphead
{

/// Prefix of the store keys of all entries in the change log.
constexpr const char *RecordLogPrefix = "log/";

/// The store's key of a change; keys sort as revisions do. Thread safety: any thread.
std::string recordLogKey(Revision revision);

/// The revision of a log entry's key; 0 if it is not the key of a log entry. Thread safety: any thread.
Revision revisionFromLogKey(const std::string &key);

} // namespace cowsliphead

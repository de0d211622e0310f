#pragma once

#include <string>

#include "core/accountid.h"
#include "core/result.h"

namespace cowsliphead
{

class RecordSet;

/// Returns the client account that an API key belongs to. Precondition: key is the value that the caller sent, without the
/// authorization scheme. Thread safety: any thread. Errors: KeyMissing for an empty key, KeyUnknown for a key that is not valid,
/// RecordsNotLoaded before the first records are loaded.
Result<AccountId> authorize(const RecordSet &records, const std::string &key);

} // namespace cowsliphead

#pragma once

#include <string>

#include "core/accountid.h"
#include "core/result.h"

namespace cowsliphead
{

class RecordSet;

/// The client account that the key stands for. Precondition: key is what the caller sent, without its scheme. Thread safety: any thread.
/// Errors: KeyMissing for an empty key, KeyUnknown for one that is not in force, RecordsNotLoaded before the first records.
Result<AccountId> authorize(const RecordSet &records, const std::string &key);

} // namespace cowsliphead

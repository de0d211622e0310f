#pragma once

#include <chrono>

#include "core/accountid.h"
#include "core/result.h"

namespace cowsliphead
{

class RecordSet;

/// Checks whether the account may be served from records that were last confirmed this long ago. An empty account, as on routes that
/// need no API key, has no limit. Precondition: sinceConfirmed is not negative. Errors: RecordsTooOld. Thread safety: any thread.
Result<void> checkStaleness(const RecordSet &records, const AccountId &account, std::chrono::nanoseconds sinceConfirmed);

} // namespace cowsliphead

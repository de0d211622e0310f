#pragma once

#include <chrono>

#include "core/accountid.h"
#include "core/result.h"

namespace cowsliphead
{

class RecordSet;

/// Whether the account may be served on records that were last confirmed so long ago. An account that is not set, as on open
/// routes, has no limit. Precondition: sinceConfirmed is not negative. Errors: RecordsTooOld. Thread safety: any thread.
Result<void> checkStaleness(const RecordSet &records, const AccountId &account, std::chrono::nanoseconds sinceConfirmed);

} // namespace cowsliphead

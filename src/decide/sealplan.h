#pragma once

#include <map>
#include <string>

#include "decide/usagecounter.h"
#include "decide/usageledger.h"

namespace cowsliphead
{

/// Returns the ledger with one more window sealed. Counters never decrease, so each seal contains their increase since the previous
/// one: an entry is sealed exactly once, and a late one is included in the next window. Precondition: the window is newer than the
/// ledger's last one, and each counter was read after the ledger. Thread safety: any thread.
UsageLedger sealWindow(const UsageLedger &ledger, const std::map<std::string, UsageCounter> &counters, UsageWindow window);

/// Returns the ledger without its oldest pending window, which the platform has confirmed. Precondition: there is one. Thread safety:
/// any thread.
UsageLedger confirmWindow(UsageLedger ledger);

} // namespace cowsliphead

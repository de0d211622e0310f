#pragma once

#include <map>
#include <string>

#include "decide/usagecounter.h"
#include "decide/usageledger.h"

namespace cowsliphead
{

/// The ledger with one more window sealed. Counters never fall, so each seal holds what they have grown by since the one before:
/// an entry is sealed once, and one that comes late goes to the next window. Precondition: the window is newer than the ledger's
/// last one, and each counter was read after the ledger. Thread safety: any thread.
UsageLedger sealWindow(const UsageLedger &ledger, const std::map<std::string, UsageCounter> &counters, UsageWindow window);

/// The ledger after the platform has confirmed the oldest pending window. Precondition: there is one. Thread safety: any thread.
UsageLedger confirmWindow(UsageLedger ledger);

} // namespace cowsliphead

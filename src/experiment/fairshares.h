#pragma once

#include <vector>

#include "experiment/accountstatistics.h"
#include "experiment/fairnesssetup.h"

namespace cowsliphead
{

/// Sets fairShareTokens_ to each account's weighted max-min fair share: the capacity is divided by weight, and what an account does not
/// request is divided among the others. Precondition: requestedTokens_ is set, and the accounts are in the order of setup.loads_.
/// Thread safety: any thread.
void setFairShares(const FairnessSetup &setup, double capacityTokens, std::vector<AccountStatistics> &statistics);

} // namespace cowsliphead

#pragma once

#include <vector>

#include "experiment/accountstatistics.h"
#include "experiment/fairnesssetup.h"

namespace cowsliphead
{

/// Sets what each account is due: the capacity shared out by weight, and what one does not want shared among the others.
/// Precondition: wantedTokens_ is set, and the accounts stand in the setup's order. Thread safety: any thread.
void setDueTokens(const FairnessSetup &setup, double capacityTokens, std::vector<AccountStatistics> &services);

} // namespace cowsliphead

#include "experiment/fairshares.h"

#include <algorithm>

namespace cowsliphead
{

void setFairShares(const FairnessSetup &setup, double capacityTokens, std::vector<AccountStatistics> &statistics)
{
    std::vector<std::size_t> unsatisfied(statistics.size());
    for (std::size_t index = 0; index < unsatisfied.size(); ++index) {
        unsatisfied[index] = index;
    }
    bool isAnySatisfied = true;
    while (isAnySatisfied && !unsatisfied.empty()) {
        double weights = 0;
        for (const auto index : unsatisfied) {
            weights += setup.loads_[index].weight_;
        }
        const double remainingTokens = capacityTokens;
        // Accounts that request no more than their share get what they request; the remaining capacity is divided among the others.
        const auto satisfied = std::partition(unsatisfied.begin(), unsatisfied.end(), [&](std::size_t index) {
            return statistics[index].requestedTokens_ > remainingTokens * setup.loads_[index].weight_ / weights;
        });
        isAnySatisfied = satisfied != unsatisfied.end();
        for (auto index = satisfied; index != unsatisfied.end(); ++index) {
            statistics[*index].fairShareTokens_ = statistics[*index].requestedTokens_;
            capacityTokens -= statistics[*index].fairShareTokens_;
        }
        unsatisfied.erase(satisfied, unsatisfied.end());
        if (!isAnySatisfied) {
            for (const auto index : unsatisfied) {
                statistics[index].fairShareTokens_ = remainingTokens * setup.loads_[index].weight_ / weights;
            }
        }
    }
}

} // namespace cowsliphead

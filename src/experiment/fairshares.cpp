#include "experiment/fairshares.h"

#include <algorithm>

namespace cowsliphead
{

void setDueTokens(const FairnessSetup &setup, double capacityTokens, std::vector<AccountStatistics> &services)
{
    std::vector<std::size_t> open(services.size());
    for (std::size_t index = 0; index < open.size(); ++index) {
        open[index] = index;
    }
    bool hasSettled = true;
    while (hasSettled && !open.empty()) {
        double weights = 0;
        for (const auto index : open) {
            weights += setup.loads_[index].weight_;
        }
        const double left = capacityTokens;
        // Whoever wants no more than its share gets what it wants; the rest is shared again.
        const auto settled = std::partition(
            open.begin(), open.end(), [&](std::size_t index) { return services[index].wantedTokens_ > left * setup.loads_[index].weight_ / weights; });
        hasSettled = settled != open.end();
        for (auto index = settled; index != open.end(); ++index) {
            services[*index].fairShareTokens_ = services[*index].wantedTokens_;
            capacityTokens -= services[*index].fairShareTokens_;
        }
        open.erase(settled, open.end());
        if (!hasSettled) {
            for (const auto index : open) {
                services[index].fairShareTokens_ = left * setup.loads_[index].weight_ / weights;
            }
        }
    }
}

} // namespace cowsliphead

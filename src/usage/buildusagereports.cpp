#include "usage/buildusagereports.h"

#include "decide/sealedwindow.h"

namespace cowsliphead
{

std::vector<UsageReport> buildUsageReports(const SealedWindow &sealed)
{
    std::vector<UsageReport> reports;
    for (const auto &[subject, figures] : sealed.figures_) {
        // The lines are sorted by account.
        if (reports.empty() || reports.back().account_ != subject.account_) {
            reports.push_back({ subject.account_, sealed.window_, 0, {} });
        }
        reports.back().models_[subject.model_] = figures;
    }
    return reports;
}

} // namespace cowsliphead

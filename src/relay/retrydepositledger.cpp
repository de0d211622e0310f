#include "relay/retrydepositledger.h"

#include <utility>

namespace cowsliphead
{

RetryDeposits RetryDepositLedger::reportTo(const PeerAddress &relay, const RetryDeposits &deposits)
{
    RetryDeposits report;
    if (deposits.empty()) {
        return report;
    }
    auto &totals = relays_[relay];
    for (const auto &deposit : deposits) {
        const auto [total, isFirst] = totals.try_emplace(deposit.service_, 0);
        auto &assigned = assigned_[deposit.service_];
        if (!isFirst && deposit.total_ > assigned) {
            total->second += deposit.total_ - std::exchange(assigned, deposit.total_);
        }
        report.push_back({ deposit.service_, total->second, deposit.isWanted_ });
    }
    return report;
}

} // namespace cowsliphead

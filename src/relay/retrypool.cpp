#include "relay/retrypool.h"

#include <algorithm>

namespace cowsliphead
{

void RetryPool::setLimit(std::uint64_t limit)
{
    limit_ = limit;
    for (auto &[service, retries] : retries_) {
        retries = std::min(retries, limit);
    }
}

RetryGrants RetryPool::exchange(const InstanceId &gateway, const RetryDeposits &deposits, MonotonicTime now)
{
    RetryGrants grants;
    if (deposits.empty()) {
        return grants;
    }
    std::erase_if(gateways_, [now](const auto &item) { return now - item.second.heardAt_ > SilenceLimit; });
    auto &known = gateways_[gateway];
    known.heardAt_ = now;
    for (const auto &deposit : deposits) {
        const auto [entry, isNew] = known.services_.try_emplace(deposit.service_, Totals{ deposit.total_, 0 });
        auto &totals = entry->second;
        auto &retries = retries_[deposit.service_];
        if (deposit.total_ > totals.deposited_) {
            retries += std::min(deposit.total_ - totals.deposited_, limit_ - std::min(limit_, retries));
            totals.deposited_ = deposit.total_;
        }
        if (deposit.isWanted_ && !isNew && retries > 0) {
            --retries;
            ++totals.granted_;
        }
        grants.push_back({ deposit.service_, totals.granted_ });
    }
    return grants;
}

void RetryPool::clear()
{
    retries_.clear();
}

} // namespace cowsliphead

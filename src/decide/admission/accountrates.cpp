#include "decide/admission/accountrates.h"

#include <algorithm>

namespace cowsliphead
{

namespace
{

/// An account that was not served for so long has no present rate.
constexpr std::chrono::seconds IdleLimit{ 30 };

} // namespace

void AccountRates::served(const AccountId &account, TokenCost cost, MonotonicTime now)
{
    all_.served(cost, now);
    auto &entry = accounts_[account];
    entry.rate_.served(cost, now);
    entry.lastServed_ = now;
    if (now >= nextForget_) {
        forgetIdle(now);
    }
}

std::optional<std::chrono::nanoseconds> AccountRates::timeFor(const AccountId &account, double ownCost, double costAhead) const
{
    const auto shared = all_.timeFor(costAhead);
    const auto found = accounts_.find(account);
    const auto own = found == accounts_.end() ? std::nullopt : found->second.rate_.timeFor(ownCost);
    if (!shared || !own) {
        return shared;
    }
    // What other accounts will yet ask for is in no backlog, but it shows in the account's own rate.
    return std::max(*shared, *own);
}

void AccountRates::forgetIdle(MonotonicTime now)
{
    std::erase_if(accounts_, [now](const auto &entry) { return now - entry.second.lastServed_ > IdleLimit; });
    nextForget_ = now + IdleLimit;
}

} // namespace cowsliphead

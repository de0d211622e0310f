#include "decide/admission/accountrates.h"

#include <algorithm>

namespace cowsliphead
{

namespace
{

/// The rate of an account that has not been served for this long is discarded.
constexpr std::chrono::seconds IdleLimit{ 30 };

} // namespace

void AccountRates::served(TokenCost cost, MonotonicTime now)
{
    all_.served(cost, now);
}

void AccountRates::resume(MonotonicTime now)
{
    all_.resume(now);
}

void AccountRates::resume(const AccountId &account, MonotonicTime now)
{
    if (const auto found = accounts_.find(account); found != accounts_.end()) {
        found->second.rate_.resume(now);
    }
}

void AccountRates::served(const AccountId &account, TokenCost cost, MonotonicTime now)
{
    auto &entry = accounts_[account];
    entry.rate_.served(cost, now);
    entry.lastServed_ = now;
    if (now >= nextRemoval_) {
        removeIdle(now);
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
    // The backlogs do not include requests of other accounts that arrive later; the account's own rate reflects their effect.
    return std::max(*shared, *own);
}

void AccountRates::removeIdle(MonotonicTime now)
{
    std::erase_if(accounts_, [now](const auto &entry) { return now - entry.second.lastServed_ > IdleLimit; });
    nextRemoval_ = now + IdleLimit;
}

} // namespace cowsliphead

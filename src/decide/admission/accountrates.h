#pragma once

#include <chrono>
#include <map>
#include <optional>

#include "core/accountid.h"
#include "core/time.h"
#include "decide/admission/servicerate.h"
#include "decide/admission/tokencost.h"

namespace cowsliphead
{

/// The recent service rate of each client account, and that of all accounts together. Thread safety: owner task only.
class AccountRates
{
public:
    /// A request was served while others waited.
    void served(TokenCost cost, MonotonicTime now);

    /// A request of the account was served while others of it waited.
    void served(const AccountId &account, TokenCost cost, MonotonicTime now);

    /// Requests wait again.
    void resume(MonotonicTime now);

    /// Requests of the account wait again.
    void resume(const AccountId &account, MonotonicTime now);

    /// Returns how long ownCost takes at the account's current rate or costAhead at the rate of all accounts, whichever is longer;
    /// nothing while no rate is known.
    std::optional<std::chrono::nanoseconds> timeFor(const AccountId &account, double ownCost, double costAhead) const;

private:
    struct Entry {
        ServiceRate rate_;
        MonotonicTime lastServed_;
    };

    void removeIdle(MonotonicTime now);

    ServiceRate all_;
    std::map<AccountId, Entry> accounts_;
    MonotonicTime nextRemoval_;
};

} // namespace cowsliphead

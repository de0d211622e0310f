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

/// The rate at which each client account has been served of late, and the rate of all together.
class AccountRates
{
public:
    /// Thread safety: owner task only.
    void served(const AccountId &account, TokenCost cost, MonotonicTime now);

    /// How long the account's own backlog and the whole cost ahead take at the present rates, whichever takes longer; nothing while
    /// no rate is known. Thread safety: owner task only.
    std::optional<std::chrono::nanoseconds> timeFor(const AccountId &account, double ownCost, double costAhead) const;

private:
    struct Entry {
        ServiceRate rate_;
        MonotonicTime lastServed_;
    };

    void forgetIdle(MonotonicTime now);

    ServiceRate all_;
    std::map<AccountId, Entry> accounts_;
    MonotonicTime nextForget_;
};

} // namespace cowsliphead

#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/revision.h"
#include "fleet/account.h"
#include "fleet/route.h"
#include "fleet/servicespec.h"
#include "http1/callerconnectionlimits.h"

namespace cowsliphead
{

/// One version of the operator's configuration.
struct Configuration {
    /// The store's revision of it; a gateway never goes back to a lower one.
    Revision revision_ = 0;
    std::uint64_t version_ = 0;
    std::vector<Route> routes_;
    std::map<ServiceName, ServiceSpec> services_;

    /// Accounts by their keys.
    std::unordered_map<std::string, Account> accounts_;

    /// False if no request needs a key.
    bool hasAccounts_ = false;
    CallerConnectionLimits limits_;

    /// The route of the longest prefix for this host and target; null if there is none. Thread safety: as any value type.
    const Route *findRoute(const std::string &host, const std::string &target) const;
};

} // namespace cowsliphead

#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "fleet/account.h"
#include "fleet/route.h"
#include "fleet/servicespec.h"
#include "http1/callerconnectionlimits.h"
#include "store/storerevision.h"

namespace cowsliphead
{

/// One version of the operator's configuration.
struct Configuration {
    /// The store's revision of this configuration; a gateway ignores any with a lower one.
    StoreRevision revision_;
    std::uint64_t version_ = 0;
    std::vector<Route> routes_;
    std::map<ServiceName, ServiceSpec> services_;

    /// Accounts by API key.
    std::unordered_map<std::string, Account> accounts_;

    /// False if no request needs an API key.
    bool hasAccounts_ = false;
    CallerConnectionLimits limits_;

    /// Returns the route with the longest path prefix that matches this host and target, or null if none matches. Thread safety: may be
    /// called concurrently while nothing modifies the object.
    const Route *findRoute(const std::string &host, const std::string &target) const;

    /// True if the gateways share what they learn of endpoints, place requests by expected time, and decide at admission which requests are
    /// served: with an engine service whose KV cache is compact. Thread safety: as findRoute().
    bool usesAdaptiveServing() const;
};

} // namespace cowsliphead

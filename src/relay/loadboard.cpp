#include "relay/loadboard.h"

#include <utility>

namespace cowsliphead
{

void LoadBoard::reportGateway(const InstanceId &gateway, EndpointLoads loads, MonotonicTime now)
{
    gateways_[gateway] = { std::move(loads), now };
    std::erase_if(gateways_, [now](const auto &item) { return now - item.second.at_ > LoadLifetime; });
}

void LoadBoard::reportDomain(const FailureDomain &domain, EndpointLoads loads, std::size_t gateways, MonotonicTime now)
{
    domains_[domain] = { std::move(loads), gateways, now };
}

EndpointLoads LoadBoard::domainTotal(MonotonicTime now) const
{
    EndpointLoads total;
    for (const auto &[gateway, report] : gateways_) {
        if (now - report.at_ <= LoadLifetime) {
            total = sumOf(total, report.loads_);
        }
    }
    return total;
}

EndpointLoads LoadBoard::fleetTotal(MonotonicTime now) const
{
    auto total = domainTotal(now);
    for (const auto &[domain, report] : domains_) {
        if (now - report.at_ <= LoadLifetime) {
            total = sumOf(total, report.loads_);
        }
    }
    return total;
}

std::optional<std::size_t> LoadBoard::gatewaysIn(const FailureDomain &domain, MonotonicTime now) const
{
    const auto found = domains_.find(domain);
    if (found == domains_.end() || now - found->second.at_ > CountLifetime) {
        return std::nullopt;
    }
    return found->second.gateways_;
}

} // namespace cowsliphead

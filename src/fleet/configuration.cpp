#include "fleet/configuration.h"

#include <algorithm>

namespace cowsliphead
{

const Route *Configuration::findRoute(const std::string &host, const std::string &target) const
{
    const auto path = std::string_view(target).substr(0, target.find('?'));
    const Route *best = nullptr;
    for (const auto &route : routes_) {
        const bool isLonger = best == nullptr || route.prefix_.size() > best->prefix_.size();
        if (isLonger && route.host_ == host && path.starts_with(route.prefix_)) {
            best = &route;
        }
    }
    return best;
}

bool Configuration::usesAdaptiveServing() const
{
    return std::any_of(
        services_.begin(), services_.end(), [](const auto &service) { return service.second.engine_ && service.second.engine_->hasCompactCache(); });
}

} // namespace cowsliphead

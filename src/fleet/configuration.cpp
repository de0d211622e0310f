#include "fleet/configuration.h"

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

} // namespace cowsliphead

#include "records/routeindex.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "records/record.h"

namespace cowsliphead
{

RouteIndex::RouteIndex(std::vector<RecordTable::RecordPointer> records)
    : records_(std::move(records))
{
    for (const auto &record : records_) {
        if (const auto *route = std::get_if<RouteRecord>(&record->body_)) {
            routes_.emplace(route->pathPrefix_, route);
        }
    }
}

const RouteRecord *RouteIndex::find(const std::string &path) const
{
    std::string_view rest = path;
    auto next = routes_.upper_bound(rest);
    while (next != routes_.begin()) {
        const auto &[prefix, route] = *std::prev(next);
        if (rest.starts_with(prefix)) {
            return route;
        }
        // A matching prefix that sorts before this one is also a prefix of the part that this one and the path have in common.
        const auto differing = std::mismatch(rest.begin(), rest.end(), prefix.begin(), prefix.end());
        rest = rest.substr(0, static_cast<std::size_t>(differing.first - rest.begin()));
        next = routes_.upper_bound(rest);
    }
    return nullptr;
}

} // namespace cowsliphead

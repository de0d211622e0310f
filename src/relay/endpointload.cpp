#include "relay/endpointload.h"

#include <algorithm>

#include <xxhash.h>

namespace cowsliphead
{

EndpointKey endpointKeyOf(const EndpointId &endpoint)
{
    return static_cast<EndpointKey>(XXH3_64bits(endpoint.value().data(), endpoint.value().size()));
}

EndpointKey endpointKeyOf(IncarnationKey incarnation)
{
    return static_cast<EndpointKey>(incarnation);
}

EndpointLoads sumOf(const EndpointLoads &left, const EndpointLoads &right)
{
    EndpointLoads sum;
    sum.reserve(left.size() + right.size());
    auto other = right.begin();
    for (const auto &load : left) {
        for (; other != right.end() && other->endpoint_ < load.endpoint_; ++other) {
            sum.push_back(*other);
        }
        sum.push_back(load);
        if (other != right.end() && other->endpoint_ == load.endpoint_) {
            sum.back().running_ += other->running_;
            sum.back().promptTokens_ += other->promptTokens_;
            ++other;
        }
    }
    sum.insert(sum.end(), other, right.end());
    return sum;
}

EndpointLoads differenceOf(const EndpointLoads &total, const EndpointLoads &part)
{
    EndpointLoads rest;
    rest.reserve(total.size());
    auto removed = part.begin();
    for (auto load : total) {
        while (removed != part.end() && removed->endpoint_ < load.endpoint_) {
            ++removed;
        }
        if (removed != part.end() && removed->endpoint_ == load.endpoint_) {
            load.running_ -= std::min(load.running_, removed->running_);
            load.promptTokens_ -= std::min(load.promptTokens_, removed->promptTokens_);
        }
        if (load.running_ > 0 || load.promptTokens_ > 0) {
            rest.push_back(load);
        }
    }
    return rest;
}

} // namespace cowsliphead

#include "decide/endpointchooser.h"

#include "records/endpointrecord.h"

namespace cowsliphead
{

EndpointChooser::EndpointChooser(std::uint64_t seed)
    : random_(seed)
{
}

const EndpointRecord *EndpointChooser::choose(const std::vector<const EndpointRecord *> &candidates, const LoadOf &loadOf)
{
    if (candidates.empty()) {
        return nullptr;
    }
    std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
    const auto *first = candidates[pick(random_)];
    const auto *second = candidates[pick(random_)];
    const auto firstLoad = loadOf(first->endpoint_).expected_;
    const auto secondLoad = loadOf(second->endpoint_).expected_;
    return secondLoad < firstLoad ? second : first;
}

} // namespace cowsliphead

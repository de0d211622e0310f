#include "records/endpointindex.h"

#include <utility>

#include "records/record.h"

namespace cowsliphead
{

namespace
{

const EndpointIndex::Endpoints NoEndpoints;

} // namespace

EndpointIndex::EndpointIndex(std::vector<RecordTable::RecordPointer> records)
    : records_(std::move(records))
{
    for (const auto &record : records_) {
        if (const auto *endpoint = std::get_if<EndpointRecord>(&record->body_)) {
            add(*endpoint);
        }
    }
}

const EndpointIndex::Endpoints &EndpointIndex::enginesOf(const ModelId &model) const
{
    const auto found = engines_.find(model);
    return found == engines_.end() ? NoEndpoints : found->second;
}

const EndpointIndex::Endpoints &EndpointIndex::endpointsOf(const std::string &service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? NoEndpoints : found->second;
}

void EndpointIndex::add(const EndpointRecord &endpoint)
{
    if (endpoint.kind_ == EndpointKind::Service) {
        services_[endpoint.service_].push_back(&endpoint);
        return;
    }
    for (const auto &model : endpoint.models_) {
        engines_[model].push_back(&endpoint);
    }
}

} // namespace cowsliphead

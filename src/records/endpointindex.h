#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "core/modelid.h"
#include "records/recordtable.h"

namespace cowsliphead
{

struct EndpointRecord;

/// Immutable index of endpoints by the model or plain service that they serve, draining ones included.
/// Thread safety: any thread.
class EndpointIndex
{
public:
    using Endpoints = std::vector<const EndpointRecord *>;

    EndpointIndex() = default;
    explicit EndpointIndex(std::vector<RecordTable::RecordPointer> records);

    /// The engines of the model, sorted by name.
    const Endpoints &enginesOf(const ModelId &model) const;
    /// The endpoints of the plain service, sorted by name.
    const Endpoints &endpointsOf(const std::string &service) const;

private:
    void add(const EndpointRecord &endpoint);

    /// Owns the records that the lists point to.
    std::vector<RecordTable::RecordPointer> records_;
    std::unordered_map<ModelId, Endpoints> engines_;
    std::unordered_map<std::string, Endpoints> services_;
};

} // namespace cowsliphead

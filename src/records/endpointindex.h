#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "core/modelid.h"
#include "records/recordtable.h"

namespace cowsliphead
{

struct EndpointRecord;

/// Which endpoints serve a model or a plain service, draining ones included. It never changes.
class EndpointIndex
{
public:
    using Endpoints = std::vector<const EndpointRecord *>;

    EndpointIndex() = default;
    /// Thread safety: any thread.
    explicit EndpointIndex(std::vector<RecordTable::RecordPointer> records);

    /// The engines of the model, sorted by name. Thread safety: any thread.
    const Endpoints &enginesOf(const ModelId &model) const;
    /// The endpoints of the plain service, sorted by name. Thread safety: any thread.
    const Endpoints &endpointsOf(const std::string &service) const;

private:
    void add(const EndpointRecord &endpoint);

    /// Keeps what the lists point to.
    std::vector<RecordTable::RecordPointer> records_;
    std::unordered_map<ModelId, Endpoints> engines_;
    std::unordered_map<std::string, Endpoints> services_;
};

} // namespace cowsliphead

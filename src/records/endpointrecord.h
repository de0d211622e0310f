#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/endpointid.h"
#include "core/failuredomain.h"
#include "core/modelid.h"
#include "records/endpointkind.h"

namespace cowsliphead
{

/// An endpoint: its address, what it serves and how it may be used.
struct EndpointRecord {
    EndpointId endpoint_;
    EndpointKind kind_ = EndpointKind::Engine;
    std::string host_;
    std::uint16_t port_ = 0;
    FailureDomain failureDomain_;

    /// For an engine: the models that it serves.
    std::vector<ModelId> models_;

    /// For a plain service: the name of the service.
    std::string service_;

    /// Credential sent to the endpoint in place of the caller's key.
    std::string credential_;

    /// True if the endpoint refuses an order with an old fencing number.
    bool checksFencing_ = false;

    /// True if the endpoint may be reclaimed at seconds' notice.
    bool isPreemptible_ = false;

    /// True if the endpoint is being drained: it gets no new requests.
    bool isDraining_ = false;

    /// Maximum number of requests that the endpoint runs concurrently.
    std::uint32_t slots_ = 16;
};

} // namespace cowsliphead

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

/// An endpoint, where it listens and what it can do.
struct EndpointRecord {
    EndpointId endpoint_;
    EndpointKind kind_ = EndpointKind::Engine;
    std::string host_;
    std::uint16_t port_ = 0;
    FailureDomain failureDomain_;

    /// The models that an engine serves.
    std::vector<ModelId> models_;

    /// The service that a plain service is an endpoint of.
    std::string service_;

    /// The credential that the system shows to the endpoint in place of any caller's key.
    std::string credential_;

    /// True if the endpoint refuses an order with an old fencing number.
    bool checksFencing_ = false;

    /// True if the endpoint may be reclaimed at seconds' notice.
    bool isPreemptible_ = false;

    /// True once the endpoint is to leave: it gets no new work.
    bool isDraining_ = false;

    /// Requests that the endpoint runs at the same time.
    std::uint32_t slots_ = 16;
};

} // namespace cowsliphead

#pragma once

#include <cstdint>
#include <vector>

#include "core/result.h"
#include "peer/messagepack.h"
#include "relay/retrygrant.h"

namespace cowsliphead
{

/// Wire form of RetryGrant.
struct WireRetryGrant {
    ServiceKey service_ = 0;
    std::uint64_t total_ = 0;

    MSGPACK_DEFINE_ARRAY(service_, total_)
};

/// Thread safety: any thread.
inline WireRetryGrant toWire(const RetryGrant &grant)
{
    return { grant.service_, grant.total_ };
}

/// Thread safety: any thread.
inline RetryGrant fromWire(const WireRetryGrant &wire)
{
    return { wire.service_, wire.total_ };
}

/// Errors: CodecMalformed for a service that is named twice. Thread safety: any thread.
Result<RetryGrants> retryGrantsFromWire(const std::vector<WireRetryGrant> &wire);

} // namespace cowsliphead

#pragma once

#include <cstdint>
#include <vector>

#include "core/result.h"
#include "peer/messagepack.h"
#include "relay/retrydeposit.h"

namespace cowsliphead
{

/// Wire form of RetryDeposit. Its third element may be missing.
struct WireRetryDeposit {
    ServiceKey service_ = 0;
    std::uint64_t total_ = 0;
    bool isWanted_ = false;

    MSGPACK_DEFINE_ARRAY(service_, total_, isWanted_)
};

/// Thread safety: any thread.
inline WireRetryDeposit toWire(const RetryDeposit &deposit)
{
    return { deposit.service_, deposit.total_, deposit.isWanted_ };
}

/// Thread safety: any thread.
inline RetryDeposit fromWire(const WireRetryDeposit &wire)
{
    return { wire.service_, wire.total_, wire.isWanted_ };
}

/// Errors: CodecMalformed for a service that is named twice. Thread safety: any thread.
Result<RetryDeposits> retryDepositsFromWire(const std::vector<WireRetryDeposit> &wire);

} // namespace cowsliphead

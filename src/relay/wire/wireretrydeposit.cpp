#include "relay/wire/wireretrydeposit.h"

#include "core/errorcode.h"
#include "relay/wire/wirelist.h"

namespace cowsliphead
{

Result<RetryDeposits> retryDepositsFromWire(const std::vector<WireRetryDeposit> &wire)
{
    auto deposits = allFromWire<RetryDeposit>(wire);
    if (!hasEachKeyOnce(deposits, [](const RetryDeposit &deposit) { return deposit.service_; })) {
        return failure(ErrorCode::CodecMalformed);
    }
    return deposits;
}

} // namespace cowsliphead

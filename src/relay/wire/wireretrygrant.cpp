#include "relay/wire/wireretrygrant.h"

#include "core/errorcode.h"
#include "relay/wire/wirelist.h"

namespace cowsliphead
{

Result<RetryGrants> retryGrantsFromWire(const std::vector<WireRetryGrant> &wire)
{
    auto grants = allFromWire<RetryGrant>(wire);
    if (!hasEachKeyOnce(grants, [](const RetryGrant &grant) { return grant.service_; })) {
        return failure(ErrorCode::CodecMalformed);
    }
    return grants;
}

} // namespace cowsliphead

#include "gateway/requestdigestof.h"

#include "core/sha256.h"
#include "gateway/requestmetadata.h"
#include "http1/callerrequest.h"

namespace cowsliphead
{

RequestDigest requestDigestOf(const CallerRequest &request, const RequestMetadata &metadata, const AccountId &account)
{
    /// Hexadecimal digits of 128 bits; digests travel between gateways.
    constexpr std::size_t DigestLength = 32;
    // A header field contains no line feed, so the parts cannot run into each other.
    const auto &head = request.head_;
    const auto content = account.value() + "\n" + head.method_ + " " + metadata.host_ + head.target_ + "\n" + request.body_;
    return RequestDigest(sha256Hex(content).substr(0, DigestLength));
}

} // namespace cowsliphead

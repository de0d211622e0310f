#include "gateway/crashtracker.h"

#include "gateway/admittedrequest.h"
#include "gateway/gatewaycontext.h"
#include "gateway/requestdigestof.h"
#include "gateway/requestmetadata.h"
#include "logs/log.h"

namespace cowsliphead
{

CrashTracker::CrashTracker(GatewayContext &context, const CallerRequest &request, const RequestMetadata &metadata, const AdmittedRequest &admitted)
    : context_(context)
    , request_(request)
    , metadata_(metadata)
    , admitted_(admitted)
{
}

std::optional<std::chrono::milliseconds> CrashTracker::quarantineLeft()
{
    return context_.crashes_.isEmpty() ? std::nullopt : context_.crashes_.quarantineLeft(digest(), context_.clock_.now());
}

void CrashTracker::dispatched()
{
    countAtDispatch_ = context_.crashes_.isEmpty() ? CrashCount{} : context_.crashes_.countOf(digest(), context_.clock_.now());
}

void CrashTracker::endpointClosed(const SocketAddress &endpoint)
{
    const auto now = context_.clock_.now();
    const bool wasQuarantined = context_.crashes_.quarantineLeft(digest(), now).has_value();
    context_.crashes_.crashed(digest(), countAtDispatch_, now);
    context_.publishCrashes();
    const auto crashes = context_.crashes_.countOf(digest(), now).crashes_;
    if (!wasQuarantined && context_.crashes_.quarantineLeft(digest(), now)) {
        logEvent(LogEvent::RequestQuarantined, { { "digest", digest().value() }, { "request", metadata_.attemptId_ }, { "crashes", std::uint64_t(crashes) } });
    }
    // A single loss has no consequences, so it is not worth a connection.
    if (crashes > 1) {
        context_.crashVerifier_.verify(endpoint, [&context = context_, digest = digest()] { endpointSurvived(context, digest); });
    }
}

void CrashTracker::answered()
{
    if (!context_.crashes_.isEmpty()) {
        takeBack(context_, digest(), &CrashRegister::answered);
    }
}

void CrashTracker::endpointSurvived(GatewayContext &context, const RequestDigest &digest)
{
    takeBack(context, digest, &CrashRegister::survived);
}

void CrashTracker::takeBack(GatewayContext &context, const RequestDigest &digest, void (CrashRegister::*change)(const RequestDigest &, MonotonicTime))
{
    const auto now = context.clock_.now();
    const bool wasQuarantined = context.crashes_.quarantineLeft(digest, now).has_value();
    (context.crashes_.*change)(digest, now);
    context.publishCrashes();
    if (wasQuarantined && !context.crashes_.quarantineLeft(digest, now)) {
        logEvent(LogEvent::RequestReleased, { { "digest", digest.value() } });
    }
}

const RequestDigest &CrashTracker::digest()
{
    if (digest_.isEmpty()) {
        digest_ = requestDigestOf(request_, metadata_, admitted_.account_ == nullptr ? AccountId() : admitted_.account_->id_);
    }
    return digest_;
}

} // namespace cowsliphead

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

void CrashTracker::endpointCrashed()
{
    const auto now = context_.clock_.now();
    const bool wasQuarantined = context_.crashes_.quarantineLeft(digest(), now).has_value();
    context_.crashes_.crashed(digest(), countAtDispatch_, now);
    context_.publishCrashes();
    if (!wasQuarantined && context_.crashes_.quarantineLeft(digest(), now)) {
        logEvent(LogEvent::RequestQuarantined,
                 { { "digest", digest().value() }, { "request", metadata_.attemptId_ }, { "crashes", std::uint64_t(CrashRegister::QuarantineThreshold) } });
    }
}

void CrashTracker::answered()
{
    if (!context_.crashes_.isEmpty()) {
        context_.crashes_.answered(digest(), context_.clock_.now());
        context_.publishCrashes();
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

#include "gateway/crashtracker.h"

#include "decide/crashkeys.h"
#include "gateway/admittedrequest.h"
#include "gateway/endpointsurvival.h"
#include "gateway/gatewaycontext.h"
#include "gateway/requestdigestof.h"
#include "gateway/requestmetadata.h"

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
    if (context_.crashes_.isEmpty()) {
        return std::nullopt;
    }
    const auto verdict = context_.crashes_.verdictOn(suspects(true), context_.clock_.now());
    if (!verdict) {
        return std::nullopt;
    }
    culprit_ = nameOf(verdict->culprit_);
    return verdict->left_;
}

void CrashTracker::endpointClosed(const EndpointEntry &endpoint, MonotonicTime writtenAt)
{
    const auto now = context_.clock_.now();
    const auto incarnation = crashkeys::ofEndpoint(endpoint.id_, endpoint.incarnation_);
    context_.crashes_.crashed(suspects(true), incarnation, writtenAt, now);
    context_.crashesChanged();
    // A single loss has no consequences, so it is not worth a connection.
    if (context_.crashes_.crashesInARow(suspects(true), now) > 1) {
        endpointsurvival::verify(context_, endpoint);
    }
}

void CrashTracker::answered()
{
    context_.crashes_.answered(suspects(!context_.crashes_.isEmpty()), context_.clock_.now());
    context_.crashesChanged();
}

const CrashSuspects &CrashTracker::suspects(bool withRequest)
{
    if (!suspects_) {
        suspects_.emplace();
        for (const auto &part : metadata_.sharedParts()) {
            if (suspects_->parts_.size() < MaxParts) {
                suspects_->parts_.push_back(crashkeys::ofPart(part.id_));
            }
        }
    }
    if (withRequest && !suspects_->request_) {
        digest_ = requestDigestOf(request_, metadata_, admitted_.account_ == nullptr ? AccountId() : admitted_.account_->id_);
        suspects_->request_ = crashkeys::ofRequest(digest_);
    }
    return *suspects_;
}

std::string CrashTracker::nameOf(SuspectKey suspect)
{
    for (const auto &part : metadata_.sharedParts()) {
        if (crashkeys::ofPart(part.id_) == suspect) {
            return part.id_;
        }
    }
    return digest_.value();
}

} // namespace cowsliphead

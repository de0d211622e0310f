#include "serve/suspecttrial.h"

#include <algorithm>
#include <utility>

#include "core/sha256.h"
#include "http/httprequest.h"
#include "logs/log.h"
#include "records/recordset.h"
#include "serve/servingcontext.h"

namespace cowsliphead
{

SuspectTrial::SuspectTrial(ServingContext &context, const HttpRequest &request, std::uint64_t sequence)
    : context_(context)
    , request_(request)
    , sequence_(sequence)
    , deadline_(context.loop_, [this] { onDeadline_(); })
{
}

SuspectTrial::~SuspectTrial()
{
    end();
}

QuarantineStatus SuspectTrial::quarantineStatus()
{
    // Most of the time nothing is remembered, and no digest is needed.
    return context_.quarantine_.size() == 0 ? QuarantineStatus::Trusted : context_.quarantine_.quarantineStatus(digest(), context_.clock_.now());
}

void SuspectTrial::begin(MonotonicTime deadline, std::function<void()> onTurn, std::function<void()> onDeadline)
{
    logEvent(LogEvent::RequestTriedAlone, { { "digest", digest().value() } });
    onDeadline_ = std::move(onDeadline);
    const auto patience = std::chrono::ceil<std::chrono::microseconds>(deadline - context_.clock_.now());
    deadline_.startOnce(std::max(std::chrono::microseconds(0), patience));
    context_.isolation_.enter(sequence_, std::move(onTurn));
}

void SuspectTrial::reserve(const EndpointId &endpoint, std::function<void()> onAlone)
{
    const bool isFree = context_.pool_.load(endpoint).inFlight_ == 0;
    context_.isolation_.reserve(endpoint, isFree, [this, onAlone = std::move(onAlone)] {
        deadline_.cancel();
        isAlone_ = true;
        onAlone();
    });
}

void SuspectTrial::end()
{
    isAlone_ = false;
    deadline_.cancel();
    context_.isolation_.leave(sequence_);
}

void SuspectTrial::noteCrash(const EndpointId &endpoint)
{
    const auto now = context_.clock_.now();
    context_.quarantine_.crashed(digest(), endpoint, isAlone_, now);
    if (context_.quarantine_.quarantineStatus(digest(), now) == QuarantineStatus::Quarantined) {
        logEvent(LogEvent::RequestQuarantined, { { "digest", digest().value() } });
    }
}

void SuspectTrial::noteAnswered()
{
    if (context_.quarantine_.size() > 0) {
        context_.quarantine_.answered(digest());
    }
}

const RequestDigest &SuspectTrial::digest()
{
    if (!digest_) {
        digest_ = RequestDigest(sha256Hex(request_.path_ + "\n" + request_.body_));
    }
    return *digest_;
}

} // namespace cowsliphead

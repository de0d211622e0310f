#include "serve/requestisolation.h"

#include <algorithm>
#include <utility>

#include "core/sha256.h"
#include "decide/crashkeys.h"
#include "http/httprequest.h"
#include "logs/log.h"
#include "records/recordset.h"
#include "serve/promptparts.h"
#include "serve/servingcontext.h"

namespace cowsliphead
{

RequestIsolation::RequestIsolation(ServingContext &context, const HttpRequest &request, std::uint64_t sequence)
    : context_(context)
    , request_(request)
    , sequence_(sequence)
    , deadlineTimer_(context.loop_, [this] { onDeadline_(); })
{
}

RequestIsolation::~RequestIsolation()
{
    end();
}

QuarantineStatus RequestIsolation::quarantineStatus()
{
    const CrashSuspects parts{ std::nullopt, context_.crashes_.isEmpty() ? std::vector<SuspectKey>() : suspects().parts_ };
    if (context_.crashes_.verdictOn(parts, context_.clock_.now())) {
        return QuarantineStatus::Quarantined;
    }
    // Avoids computing the digest as long as no request is suspect or quarantined.
    return context_.quarantine_.size() == 0 ? QuarantineStatus::Trusted : context_.quarantine_.quarantineStatus(digest(), context_.clock_.now());
}

void RequestIsolation::waitForTurn(MonotonicTime deadline, std::function<void()> onTurn, std::function<void()> onDeadline)
{
    logEvent(LogEvent::RequestTriedAlone, { { "digest", digest().value() } });
    onDeadline_ = std::move(onDeadline);
    const auto remaining = std::chrono::ceil<std::chrono::microseconds>(deadline - context_.clock_.now());
    deadlineTimer_.startOnce(std::max(std::chrono::microseconds(0), remaining));
    context_.isolationQueue_.enqueue(sequence_, std::move(onTurn));
}

void RequestIsolation::reserveEndpoint(const EndpointId &endpoint, std::function<void()> onEndpointReserved)
{
    const bool isFree = context_.pool_.load(endpoint).inFlight_ == 0;
    context_.isolationQueue_.reserveEndpoint(endpoint, isFree, [this, onEndpointReserved = std::move(onEndpointReserved)] {
        deadlineTimer_.cancel();
        isIsolated_ = true;
        onEndpointReserved();
    });
}

void RequestIsolation::end()
{
    isIsolated_ = false;
    deadlineTimer_.cancel();
    context_.isolationQueue_.remove(sequence_);
}

void RequestIsolation::attemptStarted()
{
    attemptStartedAt_ = context_.clock_.now();
}

void RequestIsolation::recordCrash(const EndpointId &endpoint)
{
    const auto now = context_.clock_.now();
    context_.crashes_.crashed(suspects(), context_.endpointRuns_.ended(endpoint, attemptStartedAt_, now), attemptStartedAt_, now);
    context_.quarantine_.crashed(digest(), endpoint, isIsolated_, now);
    if (context_.quarantine_.quarantineStatus(digest(), now) == QuarantineStatus::Quarantined) {
        logEvent(LogEvent::RequestQuarantined, { { "digest", digest().value() } });
    }
}

void RequestIsolation::recordAnswered()
{
    if (context_.quarantine_.size() > 0) {
        context_.quarantine_.answered(digest());
    }
    if (!context_.crashes_.isEmpty()) {
        context_.crashes_.answered(suspects(), context_.clock_.now());
    }
}

const CrashSuspects &RequestIsolation::suspects()
{
    if (!suspects_) {
        suspects_ = CrashSuspects{ crashkeys::ofRequest(digest()), sharedPromptParts(request_.body_) };
    }
    return *suspects_;
}

const RequestDigest &RequestIsolation::digest()
{
    if (!digest_) {
        digest_ = RequestDigest(sha256Hex(request_.path_ + "\n" + request_.body_));
    }
    return *digest_;
}

} // namespace cowsliphead

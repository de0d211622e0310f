#pragma once

#include <cstdint>
#include <system_error>

#include "core/time.h"
#include "decide/requeststep.h"
#include "decide/requesttraits.h"

namespace cowsliphead
{

struct AttemptFailure;
struct ClaimRefusal;

/// State machine that decides what happens to one request from its arrival to its outcome. It performs no I/O, knows no message
/// format and reads no clock.
///
/// Three invariants hold for every sequence of events: a request that is not repeatable is sent again only if it is certain that the
/// previous attempt ran nothing; a failure reports NotRun only if it is certain that no attempt ran anything; and a request that
/// needs a claim is sent only while it holds one.
///
/// Thread safety: owner task only.
class RequestMachine
{
public:
    explicit RequestMachine(const RequestTraits &traits);

    /// The first step. Precondition: called once.
    RequestStep begin(MonotonicTime now);

    /// The claim was granted; no attempt begins after validUntil. Precondition: the current step is a ClaimStep.
    RequestStep claimGranted(MonotonicTime now, MonotonicTime validUntil);

    /// The claim was refused, or it is unknown whether it was granted. Precondition: the current step is a ClaimStep.
    RequestStep claimRefused(const ClaimRefusal &refusal);

    /// An earlier submission has run, and its answer is stored. Precondition: the current step is a ClaimStep.
    RequestStep claimReplayed();

    /// No endpoint can take the request now. Precondition: the current step is a DispatchStep.
    RequestStep noEndpoint();

    /// The request must not be sent, or must not be sent again. Precondition: the current step is a DispatchStep.
    RequestStep refused(std::error_code code);

    /// The first byte of the response has been sent to the caller. Precondition: the current step is a DispatchStep.
    void answerStarted();

    /// The endpoint's response is complete. Precondition: the current step is a DispatchStep.
    RequestStep answerEnded();

    /// The attempt failed. Precondition: the current step is a DispatchStep.
    RequestStep attemptFailed(const AttemptFailure &attempt, bool mayRetry, MonotonicTime now);

    /// True if an endpoint may have run any part of the request.
    bool mayHaveRun() const;

private:
    RequestStep dispatch(MonotonicTime now);
    FailStep fail(std::error_code code, MonotonicTime now) const;
    bool isRetryAllowed(bool isCertainlyNotRun) const;

    RequestTraits traits_;
    MonotonicTime claimValidUntil_ = MonotonicTime::max();
    MonotonicTime dispatchedAt_;
    std::uint32_t attempts_ = 0;
    bool mayHaveRun_ = false;
    bool isAnswerStarted_ = false;
};

} // namespace cowsliphead

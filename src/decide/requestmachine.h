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

/// Decides what happens to one request from its arrival to its outcome. It knows no socket, no message and no clock.
///
/// Three rules hold for every sequence of events: a request that is not repeatable is sent again only if it is certain that
/// the attempt before ran nothing, a failure says NotRun only if every attempt is certain to have run nothing, and a request
/// that needs a claim is sent only while it holds one.
class RequestMachine
{
public:
    /// Thread safety: owner task only.
    explicit RequestMachine(const RequestTraits &traits);

    /// The first step. Precondition: called once. Thread safety: owner task only.
    RequestStep begin(MonotonicTime now);

    /// The claim was granted; no attempt begins after validUntil. Precondition: a ClaimStep is open. Thread safety: owner task only.
    RequestStep claimGranted(MonotonicTime now, MonotonicTime validUntil);

    /// The claim was refused, or nothing is known of it. Precondition: a ClaimStep is open. Thread safety: owner task only.
    RequestStep claimRefused(const ClaimRefusal &refusal);

    /// An earlier sending has run, and its answer is known. Precondition: a ClaimStep is open. Thread safety: owner task only.
    RequestStep claimReplayed();

    /// No endpoint can take the request now. Precondition: a DispatchStep is open. Thread safety: owner task only.
    RequestStep noEndpoint();

    /// The request must not be sent, or not be sent again. Precondition: a DispatchStep is open. Thread safety: owner task only.
    RequestStep refused(std::error_code code);

    /// The caller has been sent a first byte of the answer. Precondition: a DispatchStep is open. Thread safety: owner task only.
    void answerStarted();

    /// The endpoint's answer is whole. Precondition: a DispatchStep is open. Thread safety: owner task only.
    RequestStep answerEnded();

    /// The attempt failed. Precondition: a DispatchStep is open. Thread safety: owner task only.
    RequestStep attemptFailed(const AttemptFailure &attempt, bool mayRetry, MonotonicTime now);

    /// True if some endpoint may have run some of the request. Thread safety: owner task only.
    bool mayHaveRun() const;

private:
    RequestStep dispatch(MonotonicTime now);
    FailStep fail(std::error_code code, MonotonicTime now) const;
    bool mayBeSentAgain(bool isCertainlyNotRun) const;

    RequestTraits traits_;
    MonotonicTime claimEnd_ = MonotonicTime::max();
    MonotonicTime dispatchedAt_;
    std::uint32_t attempts_ = 0;
    bool mayHaveRun_ = false;
    bool isAnswerStarted_ = false;
};

} // namespace cowsliphead

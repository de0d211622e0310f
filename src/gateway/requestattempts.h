#pragma once

#include <cstdint>

#include "gateway/attemptend.h"
#include "gateway/requestprogress.h"

namespace cowsliphead
{

class RetryAllowance;
struct Route;

/// Counts the dispatches of one request by their outcome. Thread safety: owner task only.
class RequestAttempts
{
public:
    /// The request was sent to an endpoint that runs it.
    void dispatched();

    /// An engine that was to read the prompt refused or failed.
    void prefillFailed();

    /// A dispatch to an endpoint that runs the request ended.
    void ended(AttemptEnd end);

    /// True if the next call to an endpoint is a retry, which the retry budget must allow. A successful prefill does not count as a call.
    bool nextIsRetry() const
    {
        return arrivals_ > 0;
    }

    /// True if an endpoint may have run the request.
    bool mayHaveRun() const
    {
        return runs_ > 0;
    }

    /// True if another endpoint may run the request if the current dispatch is lost.
    bool mayRunOnAnotherEndpoint(const Route &route) const;

    /// mayWait: the request may wait for a retry if the budget has none.
    RequestProgress progress(const Route &route, const RetryAllowance &retryBudget, bool mayWait = false) const;

    /// True if connections could not be opened so often in a row that the request should pause before the next attempt.
    bool shouldPause() const
    {
        return failedConnectsInARow_ >= MaxFailedConnects;
    }

    /// The request has paused.
    void paused()
    {
        failedConnectsInARow_ = 0;
    }

    /// Number of endpoints that the request was dispatched to.
    std::uint32_t dispatches() const
    {
        return dispatches_;
    }

    /// Calls that reached an endpoint, except successful prefills.
    std::uint32_t arrivals() const
    {
        return arrivals_;
    }

    /// Number of endpoints that may have run the request.
    std::uint32_t runs() const
    {
        return runs_;
    }

private:
    /// Failed connection attempts after which a request that has reached no endpoint needs the retry budget, or pauses if it may wait.
    static constexpr std::uint32_t MaxFailedConnects = 4;

    std::uint32_t dispatches_ = 0;
    std::uint32_t arrivals_ = 0;
    std::uint32_t runs_ = 0;
    std::uint32_t failedConnects_ = 0;
    std::uint32_t failedConnectsInARow_ = 0;
};

} // namespace cowsliphead

#pragma once

#include <cstdint>

#include "gateway/attemptend.h"
#include "gateway/requestprogress.h"

namespace cowsliphead
{

class RetryAllowance;
struct Route;

/// What endpoints have got of one request so far, and what that says of its outcome.
class RequestTally
{
public:
    /// The request is sent to an endpoint that is to run it. Thread safety: owner task only.
    void dispatched();

    /// An endpoint that got the request for its prompt only did not read it. Thread safety: owner task only.
    void promptRefused();

    /// A dispatch that was to run the request ended. Thread safety: owner task only.
    void ended(AttemptEnd end);

    /// Every call to an endpoint beyond a request's first draws on the allowance; a prompt that was read does not count as one.
    /// Thread safety: owner task only.
    bool isRepeat() const
    {
        return arrivals_ > 0;
    }

    /// True if some endpoint may have run the request. Thread safety: owner task only.
    bool mayHaveRun() const
    {
        return runs_ > 0;
    }

    /// True if one more endpoint may run the request after the one that has it now. Thread safety: owner task only.
    bool mayRunOnceMore(const Route &route) const;

    /// Thread safety: owner task only.
    RequestProgress progress(const Route &route, const RetryAllowance &allowance) const;

    /// Endpoints that the request was sent to. Thread safety: owner task only.
    std::uint32_t dispatches() const
    {
        return dispatches_;
    }

    /// Calls that endpoints got for the request, but for prompts that were read. Thread safety: owner task only.
    std::uint32_t arrivals() const
    {
        return arrivals_;
    }

private:
    /// Connections that may fail to open before the request is given up.
    static constexpr std::uint32_t MostUnopened = 4;

    std::uint32_t dispatches_ = 0;
    std::uint32_t arrivals_ = 0;
    std::uint32_t runs_ = 0;
    std::uint32_t unopened_ = 0;
};

} // namespace cowsliphead

#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "gateway/dispatchfacts.h"
#include "http1/requesthead.h"

namespace cowsliphead
{

/// One dispatch of a request to an endpoint.
struct DispatchPlan {
    const RequestHead &head_;
    const std::string &body_;
    std::string attemptId_;
    DispatchFacts facts_{};

    /// A success is passed on while it arrives.
    bool isStream_ = false;

    /// A connection that carried a request before may have been closed by its endpoint unseen, and a request on it be lost.
    bool needsNewConnection_ = false;

    /// Tokens that the endpoint has to read before it answers, as far as this gateway knows.
    std::uint64_t promptTokens_ = 0;

    /// How long the endpoint may give nothing before the dispatch counts as lost; zero: as long as the request lasts.
    std::chrono::milliseconds silenceLimit_{ 0 };
};

} // namespace cowsliphead

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "decide/placement/expectedtime.h"
#include "gateway/dispatchmetadata.h"
#include "http1/requesthead.h"

namespace cowsliphead
{

/// Parameters of one dispatch of a request to an endpoint.
struct DispatchPlan {
    const RequestHead &head_;
    const std::string &body_;
    std::string attemptId_;
    DispatchMetadata metadata_{};

    /// Forward a successful response while it arrives.
    bool isStream_ = false;

    /// Do not reuse a connection: the endpoint may already have closed an idle one, and the request would be lost.
    bool needsNewConnection_ = false;

    /// Tokens of a long prompt that no other request shares.
    std::uint64_t ownTokens_ = 0;

    /// Tokens that the endpoint has to read before it responds, as far as this gateway knows.
    std::uint64_t promptTokens_ = 0;

    /// The expected time until the prompt is read; nothing if it was not estimated.
    std::optional<ExpectedTime> expected_{};

    /// How long the endpoint may send no data before the dispatch counts as lost; zero disables the timeout.
    std::chrono::milliseconds noDataTimeout_{ 0 };
};

} // namespace cowsliphead

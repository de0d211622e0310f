#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "fleet/routekind.h"
#include "fleet/routeshare.h"

namespace cowsliphead
{

/// Which requests go to which services, and how.
struct Route {
    std::string name_;
    std::string host_;

    /// Begins and ends with a slash.
    std::string prefix_;
    RouteKind kind_ = RouteKind::NonIdempotent;
    std::vector<RouteShare> shares_;

    /// The longest time that a request is kept waiting.
    std::chrono::milliseconds timeout_{ 0 };

    /// An answer within this time counts as on time.
    std::chrono::milliseconds targetLatency_{ 0 };

    /// 0 is the most urgent.
    int priority_ = 0;

    /// The most endpoints that run one request.
    std::uint32_t maxAttempts_ = 1;

    /// Open to requests without a key.
    bool isAnonymous_ = false;

    /// A stream that broke off may go on at another endpoint.
    bool isResumable_ = false;

    /// True if running a request again does no harm. Thread safety: as any value type.
    bool mayRunAgain() const
    {
        return kind_ == RouteKind::Idempotent || (kind_ == RouteKind::Streaming && isResumable_);
    }
};

} // namespace cowsliphead

#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "fleet/routekind.h"
#include "fleet/routeshare.h"

namespace cowsliphead
{

/// Maps the requests for a host and path prefix to services and defines how they are handled.
struct Route {
    std::string name_;
    std::string host_;

    /// Begins and ends with a slash.
    std::string prefix_;
    RouteKind kind_ = RouteKind::NonIdempotent;
    std::vector<RouteShare> shares_;

    /// The longest time that a caller waits for an answer.
    std::chrono::milliseconds timeout_{ 0 };

    /// An answer within this time counts as on time.
    std::chrono::milliseconds targetLatency_{ 0 };

    /// The longest pause between two events of a stream that counts as on time; zero if the configuration gives none.
    std::chrono::milliseconds longestPause_{ 0 };

    /// 0 is the most urgent.
    int priority_ = 0;

    /// Maximum number of endpoints that one request is sent to.
    std::uint32_t maxAttempts_ = 1;

    /// True if requests without an API key are accepted.
    bool isAnonymous_ = false;

    /// True if an interrupted stream may be resumed at another endpoint.
    bool isResumable_ = false;

    /// True if it is safe to run a request more than once. Thread safety: may be called concurrently while nothing modifies the object.
    bool mayRunAgain() const
    {
        return kind_ == RouteKind::Idempotent || (kind_ == RouteKind::Streaming && isResumable_);
    }

    /// How long a caller of a stream waits for an event before it leaves. Thread safety: as mayRunAgain().
    std::chrono::milliseconds patience() const
    {
        return std::max({ MinPatience, PatiencePerTarget * targetLatency_, PatiencePerPause * longestPause_ });
    }

private:
    static constexpr std::chrono::milliseconds MinPatience{ 2000 };
    static constexpr int PatiencePerTarget = 4;
    static constexpr int PatiencePerPause = 8;
};

} // namespace cowsliphead

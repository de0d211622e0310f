#pragma once

#include <chrono>
#include <string>

namespace cowsliphead
{

/// A path on which callers reach a plain service.
struct RouteRecord {
    std::string route_;

    /// Requests whose path starts with this text take the route; the longest match wins.
    std::string pathPrefix_;
    std::string service_;

    /// True if the route serves callers without a key.
    bool isOpen_ = false;

    /// True if a request on the route may run more than once; false: POST and PATCH run at most once.
    bool isIdempotent_ = false;

    std::chrono::milliseconds timeout_{ 30000 };
};

} // namespace cowsliphead

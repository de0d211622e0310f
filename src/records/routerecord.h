#pragma once

#include <chrono>
#include <string>

namespace cowsliphead
{

/// A path prefix under which callers reach a plain service.
struct RouteRecord {
    std::string route_;

    /// Requests whose path starts with this prefix use the route; the longest match wins.
    std::string pathPrefix_;
    std::string service_;

    /// True if the route accepts requests without an API key.
    bool isOpen_ = false;

    /// True if any request on the route may be executed more than once. If false, POST and PATCH requests are executed at most once.
    bool isIdempotent_ = false;

    std::chrono::milliseconds timeout_{ 30000 };
};

} // namespace cowsliphead

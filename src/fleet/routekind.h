#pragma once

namespace cowsliphead
{

/// Whether the requests of a route may be run more than once, and how they are answered.
enum class RouteKind {
    Idempotent, ///< May run more than once.
    NonIdempotent, ///< May run at most once.
    Streaming, ///< Answered by a series of events; may run at most once unless it is resumable.
};

} // namespace cowsliphead

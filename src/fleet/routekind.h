#pragma once

namespace cowsliphead
{

/// What may be done with the requests of a route.
enum class RouteKind {
    Idempotent, ///< May run more than once.
    NonIdempotent, ///< May run at most once.
    Streaming, ///< Answered by a series of events; may run at most once unless it is resumable.
};

} // namespace cowsliphead

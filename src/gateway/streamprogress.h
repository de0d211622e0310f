#pragma once

namespace cowsliphead
{

/// What a piece of a stream has brought.
enum class StreamProgress {
    Event, ///< At least one event is complete.
    Partial, ///< More of an event.
    Congested, ///< The caller reads more slowly than the data arrives.
    Oversized, ///< An event that is longer than any may be.
};

} // namespace cowsliphead

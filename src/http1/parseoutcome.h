#pragma once

namespace cowsliphead
{

/// How far a parser came with the bytes it was given.
enum class ParseOutcome {
    NeedsMore, ///< All bytes are taken in; the message is not complete.
    Complete, ///< The message is complete; bytes behind it were left.
    Stopped, ///< An event asked to stop.
    Malformed,
};

} // namespace cowsliphead

#pragma once

namespace cowsliphead
{

/// Result of feeding bytes to a parser.
enum class ParseOutcome {
    NeedsMore, ///< All bytes were consumed; the message is not complete.
    Complete, ///< The message is complete; bytes after it were not consumed.
    Stopped, ///< A callback returned false.
    Malformed,
};

} // namespace cowsliphead

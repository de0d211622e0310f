#pragma once

namespace cowsliphead
{

/// Where the log goes.
enum class LogTarget {
    StandardError, ///< Written at once, for a command at a terminal.
    StandardOutput, ///< Queued for a thread of its own; a full queue drops lines, so that no task waits for the reader.
};

} // namespace cowsliphead

#pragma once

namespace cowsliphead
{

/// Where the log goes.
enum class LogTarget {
    StandardError, ///< Written synchronously, for a command in a terminal.
    StandardOutput, ///< Written by a separate thread from a queue; a full queue drops lines, so that no task waits for the reader.
};

} // namespace cowsliphead

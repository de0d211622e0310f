#pragma once

namespace cowsliphead
{

/// How much an event matters.
enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

} // namespace cowsliphead

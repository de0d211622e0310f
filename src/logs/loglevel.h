#pragma once

namespace cowsliphead
{

/// The severity of an event.
enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

} // namespace cowsliphead
